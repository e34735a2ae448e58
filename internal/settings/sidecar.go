package settings

import "time"

// Sidecar are the settings of a node on the users' platform.
type Sidecar struct {
	Node   SidecarNode   `ini:"node"`
	Listen SidecarListen `ini:"listen"`
	Store  SidecarStore  `ini:"store"`
	Bounds SidecarBounds `ini:"bounds"`
	Costs  SidecarCosts  `ini:"prices"`
	Log    Log           `ini:"log"`
}

// SidecarNode describes the host and the backend server on it.
type SidecarNode struct {
	// Host names the host in logs.
	Host          string `ini:"host"`
	IP            string `ini:"ip"`
	FailureDomain string `ini:"failure_domain"`
	// Regions gives the region of each failure domain, as domain:region.
	Regions []string `ini:"regions"`
	// Service is the service of the backend server, Server its address.
	Service string `ini:"service"`
	Server  string `ini:"server"`
	// LinkMbps is the rate of the host's link in megabits a second; 0 when it is not
	// known.
	LinkMbps float64 `ini:"link_mbps"`
}

// SidecarListen holds the addresses that the node listens on.
type SidecarListen struct {
	// Outbound takes the requests of the callers on the host.
	Outbound string `ini:"front"`
	// Inbound takes the requests of other nodes for the backend server.
	Inbound string `ini:"gate"`
	// Advertise is the address at which other nodes reach the gate; empty when it is
	// Gate itself.
	Advertise string `ini:"advertise"`
	// Ready answers whether the node takes requests.
	Ready string `ini:"ready"`
	// Announce takes the announcements of the backend server.
	Announce string `ini:"announce"`
	// Metrics is the port on which metrics are served.
	Metrics int `ini:"metrics"`
}

// SidecarStore names the platform's store.
type SidecarStore struct {
	Address string `ini:"address"`
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration `ini:"min_lease"`
}

// SidecarBounds are the times and shares that the operators agreed on.
type SidecarBounds struct {
	// Settle is the time after a disturbance within which a calm node must be up to
	// date again.
	Settle time.Duration `ini:"settle"`
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration `ini:"grace"`
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service's
	// requests, over all nodes.
	RetryRatio  float64       `ini:"retry_ratio"`
	RetryWindow time.Duration `ini:"retry_window"`
	RetrySlack  float64       `ini:"retry_slack"`
}

// SidecarCosts are the prices of traffic, in units of the worth of one request.
type SidecarCosts struct {
	CrossDomainPerMB float64 `ini:"cross_domain_per_mb"`
	CrossRegionPerMB float64 `ini:"cross_region_per_mb"`
}

// InboundAddress returns the address at which other nodes reach the gate.
func (l SidecarListen) InboundAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Inbound
}

// DefaultSidecar returns the settings before the file is read.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Listen: SidecarListen{Metrics: 9464},
		Store:  SidecarStore{MinLease: time.Second},
		Bounds: SidecarBounds{Settle: 3 * time.Second, Grace: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second},
		Costs:  SidecarCosts{CrossDomainPerMB: 8, CrossRegionPerMB: 31},
		Log:    Log{Format: "json", Level: "info"},
	}
}
