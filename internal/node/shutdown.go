package node

import (
	"context"
	"time"
)

const (
	// drainPoll is how often the node looks whether calls are still in flight.
	drainPoll = 20 * time.Millisecond
	// leaveTimeout bounds how long the node tells its neighbours that it leaves.
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
		n.log.WithError(err).Warning("connections of callers were still open")
	}
	n.exchange.Leave(ctx)
	n.log.Info("node left")
}

// waitForCalls waits until no call is in flight, at most for the drain timeout.
func (n *Node) waitForCalls() {
	deadline := n.now().Add(n.settings.Limits.DrainTimeout)
	for n.calls.InFlight() > 0 {
		if n.now().After(deadline) {
			n.log.WithField("in_flight", n.calls.InFlight()).Warning("drain timeout passed with calls in flight")
			return
		}
		time.Sleep(drainPoll)
	}
}
