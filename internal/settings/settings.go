// Package settings reads the INI settings of the daemon and the sidecar and validates
// them as a whole.
//
// It holds no state after the start. An unknown or invalid key prevents the start
// with an error that names the file, the section and the key.
package settings

import "time"

// Settings are the daemon's settings.
type Settings struct {
	Node         Node         `ini:"node"`
	Store        Store        `ini:"store"`
	Seeds        Seeds        `ini:"seeds"`
	Network      Network      `ini:"network"`
	Distribution Distribution `ini:"distribution"`
	Limits       Limits       `ini:"limits"`
	Log          Log          `ini:"log"`
}

// Node describes the host on which the daemon runs.
type Node struct {
	// Host is the host name, which must be unique in the fleet.
	Host          string `ini:"host"`
	IP            string `ini:"ip"`
	Region        string `ini:"region"`
	FailureDomain string `ini:"failure_domain"`
	// CallPort is the port for calls from callers and other nodes.
	CallPort int `ini:"call_port"`
	// ControlPort is the port for gRPC from other nodes.
	ControlPort int `ini:"control_port"`
	// OperatorPort is the port for HTTP from the operators' tool.
	OperatorPort int `ini:"operator_port"`
	// AnnouncePort is the port for HTTP from the local backend server.
	AnnouncePort int `ini:"announce_port"`
}

// Store locates the store of the platform.
type Store struct {
	Address string `ini:"address"`
	// Region is the region in which the store runs.
	Region string `ini:"region"`
	// Timeout bounds one call to the store, except watches.
	Timeout time.Duration `ini:"timeout"`
}

// Seeds lists the nodes to contact at start.
type Seeds struct {
	// Nodes are control addresses, each an IP address and a port.
	Nodes []string `ini:"nodes"`
}

// Network describes how other hosts are reached.
type Network struct {
	// EgressProxy is the address of an HTTP CONNECT proxy. If empty, connections are
	// direct.
	EgressProxy string `ini:"egress_proxy"`
	// RegionLatency is the one-way latency to the other region.
	RegionLatency time.Duration `ini:"region_latency"`
}

// Distribution tunes the distribution of the configuration.
type Distribution struct {
	// Batch is how long a reader collects changes before it pushes them. 0 gives the
	// lowest convergence time, 1 s the fewest control bytes.
	Batch time.Duration `ini:"batch"`
}

// Limits bounds the resources that one node uses.
type Limits struct {
	// Calls is the maximum number of concurrent calls.
	Calls int `ini:"calls"`
	// HeaderBytes bounds the size of a request header.
	HeaderBytes int `ini:"header_bytes"`
	// DrainTimeout bounds how long the daemon waits for calls in flight after
	// SIGTERM.
	DrainTimeout time.Duration `ini:"drain_timeout"`
}

// Log selects the log format and level.
type Log struct {
	Format string `ini:"format"`
	Level  string `ini:"level"`
}

// Default returns the default settings, onto which the file is mapped.
func Default() Settings {
	return Settings{
		Store:   Store{Timeout: time.Second},
		Network: Network{RegionLatency: 12 * time.Millisecond},
		Limits:  Limits{Calls: 4096, HeaderBytes: 64 << 10, DrainTimeout: 10 * time.Minute},
		Log:     Log{Format: "text", Level: "info"},
	}
}
