package node

import (
	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/call"
	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/lease"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
	"rosemaryladder.dev/rosemaryladder/internal/route"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

func (n *Node) buildMembership() (err error) {
	settings := n.settings.Node
	started := n.now()
	self := member.Record{
		ID:            settings.Host,
		IP:            settings.IP,
		CallPort:      settings.CallPort,
		ControlPort:   settings.ControlPort,
		OperatorPort:  settings.OperatorPort,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Incarnation:   uint64(started.UnixMilli()),
		State:         member.Alive,
	}
	n.table, err = member.NewTable(member.DefaultConfig(), self, started)
	if err != nil {
		return err
	}
	n.table.Subscribe(member.NewEventListener(n.events))
	n.quarantine, err = quarantine.New(quarantine.DefaultConfig())
	if err != nil {
		return err
	}
	n.quarantine.OnBlock(recordBlocks(n.events))
	return nil
}

func (n *Node) buildStore() (err error) {
	connection := n.openStore(n.settings.Store.Address, store.NewTransport(n.dialer), n.log, n.metrics.Scope)
	client, err := store.NewKeyed(store.Options{Timeout: n.settings.Store.Timeout}, connection, n.metrics.Scope)
	if err != nil {
		return err
	}
	n.store = newMonitoredStore(client, n.events, n.metrics.Scope, n.now)
	return nil
}

// buildDistribution builds the reader lease, the recorder of the objective
// statistics and the relay.
func (n *Node) buildDistribution() (err error) {
	n.holder = config.NewHolder()
	n.lease = newReaderLease(n.table, n.now)
	leaseConfig := lease.DefaultConfig("reader/"+n.settings.Node.Region, n.settings.Node.Host)
	leaseConfig.Eligible = n.wantsLease
	n.lease.keeper, err = lease.NewKeeper(leaseConfig, n.store, n.lease.onHeldChange, n.now, n.log, n.metrics.Scope)
	if err != nil {
		return err
	}
	n.table.Subscribe(member.ListenerFunc(n.triggerElection))
	n.burn, err = burn.NewWindowRecorder(burn.DefaultConfig(), n.settings.Node.Region, latencyObjective(n.holder))
	if err != nil {
		return err
	}
	n.traffic = relay.NewTraffic(n.metrics.Scope)
	n.relay, err = relay.New(relay.Options{
		StoreRegion: n.settings.Store.Region,
		BatchDelay:  n.settings.Distribution.Batch,
		Holder:      n.holder,
		View:        n.table.View,
		Lease:       n.lease,
		Store:       n.store,
		Dialer:      n.dialer,
		Events:      n.events,
		Logger:      n.log,
		Scope:       n.metrics.Scope,
		Traffic:     n.traffic,
		Statistics:  statistics{n.burn, burn.DefaultConfig(), n.now},
		Now:         n.now,
		Random:      random,
	})
	return err
}

func (n *Node) buildExchange() (err error) {
	n.exchange, err = gossip.New(gossip.DefaultConfig(), gossip.Dependencies{
		Table:        n.table,
		Quarantine:   n.quarantine,
		Dialer:       n.dialer,
		Seeds:        n.settings.Seeds.Nodes,
		Store:        n.store,
		IsFirstRelay: n.isFirstRelay,
		Digest:       n.digest,
		OnPeerDigest: n.observePeerDigest,
		Scope:        n.metrics.Scope,
		Logger:       n.log,
		Now:          n.now,
		Random:       random,
	})
	return err
}

func (n *Node) digest() *controlpb.Digest {
	digest := n.holder.Current().Digest()
	return &controlpb.Digest{Version: digest.Version, Hash: digest.Hash}
}

// observePeerDigest forwards the digest of a peer to the relay, which repairs
// differences in the distributed configuration.
func (n *Node) observePeerDigest(peer string, digest *controlpb.Digest) {
	if digest == nil {
		return
	}
	n.relay.Observe(peer, config.Digest{Version: digest.Version, Hash: digest.Hash})
}

func (n *Node) buildServer() (err error) {
	trackerConfig := drain.DefaultConfig(n.settings.Node.Host, n.settings.Node.FailureDomain)
	n.server, err = drain.NewTracker(trackerConfig, snapshotInForce{n.holder}, n.events, n.now)
	if err != nil {
		return err
	}
	n.admission = admit.NewController(n.now)
	listener := &serverListener{admission: n.admission, table: n.table, now: n.now}
	n.server.OnChange(listener.onChange)
	return nil
}

func (n *Node) buildClaims() (err error) {
	self := n.table.View().Self
	claimConfig := claim.DefaultConfig(self.ID, self.Incarnation, n.settings.Store.Region)
	n.claims, err = claim.NewService(claimConfig, n.table.View, n.store, n.dialer, n.now, n.metrics.Scope)
	return err
}

func (n *Node) buildCalls() error {
	routeConfig := route.DefaultConfig()
	routeConfig.RegionLatency = n.settings.Network.RegionLatency
	chooser, err := route.NewBalancer(routeConfig)
	if err != nil {
		return err
	}
	callConfig := call.DefaultConfig()
	callConfig.Calls = n.settings.Limits.Calls
	callConfig.HeaderBytes = n.settings.Limits.HeaderBytes
	n.calls, err = call.New(callConfig, call.Deps{
		Snapshots:  servingSnapshot{n.holder, n.relay},
		View:       n.table.View,
		Chooser:    chooser,
		Policy:     retryPolicy{retry.NewBudget()},
		Admission:  n.admission,
		Claimer:    n.claims,
		Retained:   retainedResponses{n.claims.Responses()},
		Quarantine: crashQuarantine{n.quarantine, n.exchange, n.now},
		Server:     n.server,
		Burn:       n.burn,
		Events:     n.events,
		Scope:      n.metrics.Scope,
		Logger:     n.log,
		Dialer:     n.dialer,
		Now:        n.now,
	})
	if err != nil {
		return err
	}
	n.callServer, err = call.NewServer(callConfig, n.settings.Node.IP, n.settings.Node.CallPort, n.calls)
	return err
}

func (n *Node) buildOperator() (err error) {
	configEditor := &config.Editor{
		Store:          n.store,
		Rules:          minimumDeadline(n.table.View, n.settings.Network.RegionLatency),
		VersionInForce: func() uint64 { return n.holder.Current().Version() },
		Random:         random,
	}
	n.operator, err = operator.NewServer(n.settings.Node.IP, n.settings.Node.OperatorPort, operator.Dependencies{
		Editor:      editor{configEditor},
		Fleet:       fleet{relay: n.relay, holder: n.holder, view: n.table.View, now: n.now},
		StoreRegion: n.settings.Store.Region,
		Snapshot:    n.holder.Current,
		OnAccepted:  n.relay.Publish,
		View:        n.table.View,
		HostReport:  n.hostReport,
		Events:      n.events,
		Metrics:     n.metrics.Handler,
		Dialer:      n.dialer,
		Scope:       n.metrics.Scope,
	})
	return err
}

func (n *Node) listen() (err error) {
	n.control, err = newControlServer(n.address(n.settings.Node.ControlPort), n.traffic, n.relay, n.exchange, n.claims)
	if err != nil {
		return err
	}
	n.announce, err = newAnnounceServer(n.address(n.settings.Node.AnnouncePort), n.server.Handler())
	return err
}
