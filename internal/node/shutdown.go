package node

import (
	"context"
	"time"
)

const (
	// drainPollInterval is how often the node checks whether calls are still in
	// flight.
	drainPollInterval = 20 * time.Millisecond
	// leaveTimeout is the timeout for closing the call server and for informing
	// the neighbours that the node leaves.
	leaveTimeout = 2 * time.Second
)

// shutdown refuses new calls, waits for the calls in flight and leaves the
// fleet.
func (n *Node) shutdown() {
	n.log.WithField("in_flight", n.calls.InFlight()).Info("node is leaving")
	n.calls.Drain()
	n.table.Leave(n.now())
	n.exchange.TriggerExchange()
	n.waitForCalls()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.callServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warning("shutdown of the call server failed; connections of callers may still be open")
	}
	n.exchange.Leave(ctx)
	n.log.Info("node left")
}

// waitForCalls waits until no call is in flight or the drain timeout expires.
func (n *Node) waitForCalls() {
	deadline := n.now().Add(n.settings.Limits.DrainTimeout)
	for n.calls.InFlight() > 0 {
		if n.now().After(deadline) {
			n.log.WithField("in_flight", n.calls.InFlight()).Warning("drain timeout expired with calls still in flight")
			return
		}
		time.Sleep(drainPollInterval)
	}
}
