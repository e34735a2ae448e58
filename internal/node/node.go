// Package node builds the components of one daemon from its settings and runs
// them.
//
// It owns no state. A component that cannot start stops the daemon;
// once started, each component handles the failures of its peers itself.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/call"
	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// Node is one daemon.
type Node struct {
	settings settings.Settings
	// openStore connects to the store of the platform on which the node runs.
	openStore store.Opener
	log       *logrus.Entry
	metrics   *telemetry.Metrics
	events    *event.Ring
	dialer    dial.Dialer
	now       func() time.Time

	store  *monitoredStore
	holder *config.Holder
	table  *member.Table
	lease  *readerLease
	relay  *relay.Relay
	// traffic counts the control messages that the node receives and sends.
	traffic    *relay.Traffic
	quarantine *quarantine.List
	exchange   *gossip.Exchanger
	server     *drain.Tracker
	admission  *admit.Controller
	claims     *claim.Service
	burn       *burn.WindowRecorder
	calls      *call.Node

	control    *controlServer
	announce   *announceServer
	callServer *call.Server
	operator   *operator.Server
}

// New builds a node and listens on its control and announce ports. Run serves
// all ports. The error is the first failure of a component.
func New(settings settings.Settings, open store.Opener, log *logrus.Entry) (*Node, error) {
	n := &Node{settings: settings, openStore: open, log: log, now: time.Now}
	n.dialer = dial.Dialer{LocalIP: settings.Node.IP, EgressProxy: settings.Network.EgressProxy}
	n.metrics = telemetry.NewMetrics(map[string]string{"host": settings.Node.Host, "failure_domain": settings.Node.FailureDomain})
	n.events = event.NewRing(settings.Node.Host, event.DefaultRingSize, n.now)
	steps := []func() error{
		n.buildMembership, n.buildStore, n.buildDistribution, n.buildExchange,
		n.buildServer, n.buildClaims, n.buildCalls, n.buildOperator, n.listen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// Run serves until the context ends or a component fails. When the context ends
// it stops gracefully: it refuses new calls, waits for calls in flight and leaves
// the fleet.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	for _, run := range n.components() {
		group.Go(func() error { return run(background) })
	}
	n.log.WithField("call_port", n.settings.Node.CallPort).Info("node started")
	select {
	case <-ctx.Done():
		n.shutdown()
	case <-background.Done():
	}
	stopBackground()
	err := group.Wait()
	n.claims.Close()
	n.store.Close()
	return errors.Wrap(ignoreCancelled(err), "run the node")
}

// components returns the components that run in the background until the node
// has drained.
func (n *Node) components() []func(context.Context) error {
	return []func(context.Context) error{
		n.relay.Run,
		n.exchange.Run,
		n.control.run,
		n.announce.run,
		n.operator.Start,
		n.runCalls,
		withoutError(n.server.Run),
		withoutError(n.lease.keeper.Run),
		n.propagateVersions,
		n.store.run,
	}
}

func (n *Node) runCalls(ctx context.Context) error {
	if _, err := n.callServer.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.callServer.Failed():
		return err
	}
}

// propagateVersions starts an exchange with the neighbours on each new version.
func (n *Node) propagateVersions(ctx context.Context) error {
	for {
		changed := n.holder.Changed()
		n.exchange.TriggerExchange()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func withoutError(run func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// ignoreCancelled drops the error of a component that stopped because the node
// is stopping.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) address(port int) string {
	return net.JoinHostPort(n.settings.Node.IP, strconv.Itoa(port))
}

// random returns a random number in [0, 1).
func random() float64 { return rand.Float64() }
