package settings

import "time"

// Sidecar are the settings of a node on the users' platform.
type Sidecar struct {
	Node    SidecarNode    `ini:"node"`
	Listen  SidecarListen  `ini:"listen"`
	Callers SidecarCallers `ini:"callers"`
	Store   SidecarStore   `ini:"store"`
	Bounds  SidecarBounds  `ini:"bounds"`
	Costs   SidecarCosts   `ini:"prices"`
	Log     Log            `ini:"log"`
}

// SidecarNode describes the host and the backend server on it.
type SidecarNode struct {
	// Host is the name of the host in logs and metrics.
	Host          string `ini:"host"`
	IP            string `ini:"ip"`
	FailureDomain string `ini:"failure_domain"`
	// Regions maps each failure domain to its region, as domain:region.
	Regions []string `ini:"regions"`
	// Service is the service of the backend server, and Server its address.
	Service string `ini:"service"`
	Server  string `ini:"server"`
	// LinkMbps is the rate of the host's link in megabits per second; 0 when unknown.
	LinkMbps float64 `ini:"link_mbps"`
}

// SidecarListen holds the addresses on which the node listens.
type SidecarListen struct {
	// Outbound is the address of the outbound proxy, for the requests of callers on
	// the host.
	Outbound string `ini:"front"`
	// Inbound is the address of the inbound proxy, for the requests of other nodes to
	// the backend server.
	Inbound string `ini:"gate"`
	// Advertise is the address at which other nodes reach the inbound proxy; empty
	// when it is Inbound itself.
	Advertise string `ini:"advertise"`
	// Ready is the address for readiness checks.
	Ready string `ini:"ready"`
	// Announce is the address for the announcements of the backend server.
	Announce string `ini:"announce"`
	// Metrics is the port that serves the metrics.
	Metrics int `ini:"metrics"`
}

// SidecarCallers bounds the connections of callers.
type SidecarCallers struct {
	// MaxPipelined is the number of requests of a connection that run side by side.
	MaxPipelined int `ini:"max_pipelined"`
	// MaxConnections is the number of open connections from which those that have been
	// silent for longest are ended to make room for new ones.
	MaxConnections int `ini:"max_connections"`
	// MaxIncompleteHeadBytes bounds the memory for heads that are being read, over all
	// connections.
	MaxIncompleteHeadBytes int `ini:"max_incomplete_head_bytes"`
	// IdleLimitNotice is how long callers may still go by the previous idle limit after
	// the operators have lowered it.
	IdleLimitNotice time.Duration `ini:"idle_limit_notice"`
}

// SidecarStore locates the store of the platform.
type SidecarStore struct {
	Address string `ini:"address"`
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration `ini:"min_lease"`
}

// SidecarBounds holds the times and ratios that the operators agreed on.
type SidecarBounds struct {
	// Settle is the time after a disturbance within which an otherwise healthy node
	// must be up to date again.
	Settle time.Duration `ini:"settle"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration `ini:"grace"`
	// RetryRatio, RetryWindow and RetrySlack bound the retries of the requests to a
	// service, over all nodes.
	RetryRatio  float64       `ini:"retry_ratio"`
	RetryWindow time.Duration `ini:"retry_window"`
	RetrySlack  float64       `ini:"retry_slack"`
	// ConfigApply is the time within which an accepted configuration is in force on all
	// nodes.
	ConfigApply time.Duration `ini:"config_apply"`
	// Revoke is the time after which a withdrawn key is refused everywhere. With FailClosed
	// that holds also for nodes that can't know of the withdrawal.
	Revoke     time.Duration `ini:"revoke"`
	FailClosed bool          `ini:"revoke_fail_closed"`
	// RateWindow is the span in which the requests of a workspace are counted against its
	// rate limit, and RateOverage the share by which all nodes together may exceed it.
	RateWindow  time.Duration `ini:"rate_window"`
	RateOverage float64       `ini:"rate_overage"`
}

// SidecarCosts holds the costs of traffic, in units of the value of one request.
type SidecarCosts struct {
	CrossDomainPerMB float64 `ini:"cross_domain_per_mb"`
	CrossRegionPerMB float64 `ini:"cross_region_per_mb"`
}

// InboundAddress returns the address at which other nodes reach the inbound proxy.
func (l SidecarListen) InboundAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Inbound
}

// DefaultSidecar returns the default settings, onto which the file is mapped.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Listen:  SidecarListen{Metrics: 9464},
		Callers: SidecarCallers{MaxPipelined: 8, MaxConnections: 2048, MaxIncompleteHeadBytes: 2 << 20, IdleLimitNotice: 3 * time.Second},
		Store:   SidecarStore{MinLease: time.Second},
		Bounds:  SidecarBounds{Settle: 3 * time.Second, Grace: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, ConfigApply: 3 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1},
		Costs:   SidecarCosts{CrossDomainPerMB: 8, CrossRegionPerMB: 31},
		Log:     Log{Format: "json", Level: "info"},
	}
}
