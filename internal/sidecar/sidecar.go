package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/freshness"
	"rosemaryladder.dev/rosemaryladder/internal/ingress"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/limitsync"
	"rosemaryladder.dev/rosemaryladder/internal/proxy"
	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
	"rosemaryladder.dev/rosemaryladder/internal/registry"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// lapsedEntryTTL is how long an entry that left the store is kept: a node that is
// alive writes it again within two seconds after the store responds again.
const lapsedEntryTTL = 2500 * time.Millisecond

const (
	// confirmedShare is the share of the revocation time for which a confirmation of the
	// store counts. The rest is a margin for clocks of different rate.
	confirmedShare = 0.8
	// confirmAfterShare is the share of it at which a follower asks the store itself, which
	// leaves time for a few questions, and confirmIntervalShare the one at which a reader
	// asks again.
	confirmAfterShare    = 0.4
	confirmIntervalShare = 0.16
)

func scaled(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Sidecar is a node on the users' platform.
type Sidecar struct {
	settings atomic.Pointer[settings.Sidecar]
	adapter  Adapter
	log      *logrus.Entry
	metrics  *telemetry.Metrics

	routes   *routing.Holder
	fleet    *fleet.Table
	balancer *balance.Balancer
	tracker  *instance.Tracker
	crashes  crash.Record
	slots    *slots.Controller
	proxy    *proxy.Proxy
	registry *registry.Registry
	limiter  *ratelimit.Limiter
	// freshness is nil unless withdrawn keys must be refused without contact.
	freshness *freshness.Tracker
	prober    *prober
	limits    *limitsync.Exchanger
	listeners []*listener
	// callers serves the connections of callers.
	callers *ingress.Server

	stopping atomic.Bool
}

// New builds a node and opens its listeners. Run serves them.
func New(loaded settings.Sidecar, adapter Adapter, log *logrus.Entry) (*Sidecar, error) {
	s := &Sidecar{
		adapter: adapter, log: log,
		metrics: telemetry.NewMetrics(map[string]string{"host": loaded.Node.Host, "failure_domain": loaded.Node.FailureDomain}),
		routes:  new(routing.Holder),
		fleet:   fleet.NewTable(lapsedEntryTTL),
		tracker: instance.NewTracker(loaded.Node.Service, time.Now),
		slots:   slots.NewController(time.Now),
	}
	s.settings.Store(&loaded)
	if loaded.Bounds.FailClosed {
		s.freshness = freshness.NewTracker(scaled(loaded.Bounds.Revoke, confirmedShare))
	}
	s.fleet.OnBlocklist(s.blocklistChanged)
	for _, step := range []func(settings.Sidecar) error{s.buildBalancer, s.buildRegistry, s.buildLimits, s.buildProxy, s.buildCallers, s.listen} {
		if err := step(loaded); err != nil {
			return nil, err
		}
	}
	s.tracker.OnChange(s.serverChanged)
	return s, nil
}

func (s *Sidecar) buildBalancer(loaded settings.Sidecar) error {
	regions, err := loaded.RegionByDomain()
	if err != nil {
		return err
	}
	config := balance.DefaultConfig()
	config.Domain, config.Regions = loaded.Node.FailureDomain, regions
	config.CrossDomainPerMB, config.CrossRegionPerMB = loaded.Costs.CrossDomainPerMB, loaded.Costs.CrossRegionPerMB
	s.balancer, err = balance.New(config)
	return err
}

func (s *Sidecar) buildRegistry(loaded settings.Sidecar) error {
	regions, err := loaded.RegionByDomain()
	if err != nil {
		return err
	}
	config := registry.DefaultConfig()
	config.Regions = regions
	config.ConfigurationKey = s.adapter.ConfigurationKey
	config.EntriesPrefix = s.adapter.EntriesPrefix
	config.WatchPrefix = s.adapter.WatchPrefix
	config.WatchWait = loaded.Bounds.Settle / 2
	config.LeaseTTL = max(config.LeaseTTL, loaded.Store.MinLease)
	config.NewsLimit = loaded.Bounds.ConfigApply / 2
	if s.freshness != nil {
		config.ConfirmInterval = scaled(loaded.Bounds.Revoke, confirmIntervalShare)
		config.ConfirmAfter = scaled(loaded.Bounds.Revoke, confirmAfterShare)
	}
	dialer := dial.Dialer{LocalIP: loaded.Node.IP, Timeout: config.CallTimeout}
	local := fleet.Entry{
		Node: loaded.Node.IP, InboundAddress: loaded.Listen.InboundAddress(), Domain: loaded.Node.FailureDomain,
		Service: loaded.Node.Service, State: fleet.Absent, Incarnation: time.Now().UnixMilli(), LinkMbps: int(loaded.Node.LinkMbps),
	}
	s.registry, err = registry.New(config, registry.Deps{
		Store:  s.adapter.NewStore(loaded.Store.Address, storeTransport(dialer), s.log, s.metrics.Scope),
		Decode: s.adapter.DecodeConfiguration, Routes: s.routes, Fleet: s.fleet, Freshness: s.freshness,
		PeerClient: &http.Client{Transport: peerTransport(dialer)}, LeaderClient: &http.Client{Transport: leaderTransport(dialer)},
		Log: s.log, Scope: s.metrics.Scope, Now: time.Now, Random: rand.Float64,
		OnReached: s.balancer.MarkReachable, OnPrevious: s.adoptPrevious,
	}, local)
	return err
}

// buildLimits builds what keeps workspaces within their rate limits.
func (s *Sidecar) buildLimits(loaded settings.Sidecar) error {
	regions, err := loaded.RegionByDomain()
	if err != nil {
		return err
	}
	config := ratelimit.DefaultConfig()
	config.Window, config.Overage = loaded.Bounds.RateWindow, loaded.Bounds.RateOverage
	if err := config.Validate(); err != nil {
		return err
	}
	s.limiter = ratelimit.NewLimiter(config, rand.Float64)
	s.limits = limitsync.New(config, limitsync.Deps{
		Limiter: s.limiter, Routes: s.routes, View: s.fleet.View, Local: s.registry.LocalEntry(), Regions: regions,
		RunID: strconv.FormatInt(time.Now().UnixNano(), 36), Client: &http.Client{Transport: leaderTransport(dial.Dialer{LocalIP: loaded.Node.IP, Timeout: time.Second})},
		Log: s.log, Scope: s.metrics.Scope, Now: boottime.Now,
	})
	return nil
}

func (s *Sidecar) buildProxy(loaded settings.Sidecar) error {
	config := proxy.DefaultConfig()
	config.Node, config.Server = loaded.Node.IP, loaded.Node.Server
	config.Link.Mbps = loaded.Node.LinkMbps
	config.BudgetRatio, config.BudgetWindow, config.BudgetSlack = loaded.Bounds.RetryRatio, loaded.Bounds.RetryWindow, loaded.Bounds.RetrySlack
	dialer := dial.Dialer{LocalIP: loaded.Node.IP}
	s.prober = newProber(s, loaded.Node.Server, dialer)
	var err error
	s.proxy, err = proxy.New(config, proxy.Deps{
		Headers: s.adapter.HeaderNames, Routes: s.routes, View: s.fleet.View, Balancer: s.balancer,
		Server: s.tracker, Slots: s.slots, Crashes: &s.crashes, CrashesChanged: s.publishCrashes, Dial: dialer.DialContext, Scope: s.metrics.Scope, Log: s.log,
		NewerVersion: s.registry.ReportNewerVersion, Suspect: s.registry.Suspect, ServerLost: s.serverUnreachable, ServerLeaves: s.serverLeaves,
		KeysConfirmed: s.keysConfirmed, Limiter: s.limiter,
		Now: time.Now, Random: rand.Float64,
	})
	return err
}

// keysConfirmed reports whether the keys of a version are known to be those that the
// operators have put in force last.
func (s *Sidecar) keysConfirmed(version routing.Version) bool {
	return s.freshness == nil || s.freshness.Confirmed(boottime.Now(), uint64(version))
}

func (s *Sidecar) buildCallers(loaded settings.Sidecar) error {
	config := ingress.DefaultConfig()
	config.Handler, config.Reject, config.Idempotent = s.proxy.OutboundHandler(), s.proxy.Reject, s.proxy.Idempotent
	config.Limits = func() *routing.Limits {
		table := s.routes.Load()
		if table == nil {
			return nil
		}
		limits := table.Limits()
		return &limits
	}
	config.MaxConns, config.MaxPipelined = loaded.Callers.MaxConnections, loaded.Callers.MaxPipelined
	config.MaxIncompleteHeadBytes = loaded.Callers.MaxIncompleteHeadBytes
	config.IdleLimitNotice = loaded.Callers.IdleLimitNotice
	config.Log, config.Scope = s.log, s.metrics.Scope
	var err error
	if s.callers, err = ingress.NewServer(config); err != nil {
		return err
	}
	s.routes.OnPublish(func(*routing.Table) { s.callers.LimitsChanged() })
	return nil
}

// Run serves until the context ends or a part fails, and then shuts down. A shutdown
// because of the context is graceful.
func (s *Sidecar) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	for _, l := range s.listeners {
		group.Go(l.serve)
	}
	group.Go(func() error { s.registry.Run(background); return nil })
	group.Go(func() error { s.prober.run(background); return nil })
	group.Go(func() error { s.limits.Run(background); return nil })
	group.Go(func() error { s.pruneDeparted(background); return nil })
	s.log.WithField("incarnation", s.registry.LocalEntry().Incarnation).Info("node started")
	select {
	case <-ctx.Done():
		s.stop()
	case <-background.Done():
	}
	stop()
	var closing sync.WaitGroup
	for _, l := range s.listeners {
		closing.Go(l.close)
	}
	closing.Wait()
	err := group.Wait()
	s.proxy.Close()
	s.log.Info("node stopped")
	return err
}

// pruneInterval is the time between two removals of outdated measurements and crash
// records.
const pruneInterval = 30 * time.Second

// pruneDeparted drops the measurements of nodes that left the fleet and expired crash
// records.
func (s *Sidecar) pruneDeparted(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.balancer.Retain(s.fleet.View())
			if s.crashes.Expire(time.Now()) {
				s.publishCrashes()
			}
		case <-ctx.Done():
			return
		}
	}
}

// Reload puts a changed grace and a changed service in force. With the service, the node
// no longer knows a server until one of that service announces itself. All other settings
// take effect at the next start only.
func (s *Sidecar) Reload(loaded settings.Sidecar) {
	previous := s.settings.Swap(&loaded)
	s.tracker.SetService(loaded.Node.Service)
	entry := s.log.WithFields(map[string]any{"grace": loaded.Bounds.Grace, "service": loaded.Node.Service})
	if needsRestart(*previous, loaded) {
		entry.Warn("settings reloaded; changes of keys other than [bounds] grace and [node] service take effect at the next start")
		return
	}
	entry.Info("settings reloaded")
}

// needsRestart reports whether a key has changed that takes effect at a start only.
func needsRestart(previous, next settings.Sidecar) bool {
	next.Bounds.Grace, next.Node.Service = previous.Bounds.Grace, previous.Node.Service
	return !reflect.DeepEqual(previous, next)
}

// ready reports whether the node takes requests.
func (s *Sidecar) ready() bool { return !s.stopping.Load() && s.registry.Ready() }
