// Package settings reads the daemon's INI settings and validates them as a
// whole.
//
// It owns no state after start. An unknown or invalid key stops the start with
// the file, the section and the key.
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
	// Host is the host name; it must be unique in the fleet.
	Host          string `ini:"host"`
	IP            string `ini:"ip"`
	Region        string `ini:"region"`
	FailureDomain string `ini:"failure_domain"`
	// CallPort takes calls from callers and other nodes.
	CallPort int `ini:"call_port"`
	// ControlPort takes gRPC from other nodes.
	ControlPort int `ini:"control_port"`
	// OperatorPort takes HTTP from the operators' tool.
	OperatorPort int `ini:"operator_port"`
	// AnnouncePort takes HTTP from the backend server beside the node.
	AnnouncePort int `ini:"announce_port"`
}

// Store names the platform's store.
type Store struct {
	Address string `ini:"address"`
	// Region is the region in which the store runs.
	Region string `ini:"region"`
	// Timeout bounds one call to the store, watches excepted.
	Timeout time.Duration `ini:"timeout"`
}

// Seeds names nodes to contact at start.
type Seeds struct {
	// Nodes are control addresses (IP and port).
	Nodes []string `ini:"nodes"`
}

// Network says how other hosts are reached.
type Network struct {
	// EgressProxy is the address of an HTTP CONNECT proxy; empty dials directly.
	EgressProxy string `ini:"egress_proxy"`
	// RegionLatency is the one-way latency to the other region.
	RegionLatency time.Duration `ini:"region_latency"`
}

// Distribution tunes how configuration travels.
type Distribution struct {
	// Batch is how long a reader collects changes before it pushes them. 0 gives
	// the lowest convergence time, 1 s the fewest control bytes.
	Batch time.Duration `ini:"batch"`
}

// Limits bound what one node holds.
type Limits struct {
	// Calls is the number of calls that a node carries at once.
	Calls int `ini:"calls"`
	// HeaderBytes bounds the head of a request.
	HeaderBytes int `ini:"header_bytes"`
	// DrainTimeout bounds how long the daemon waits for calls in flight on SIGTERM.
	DrainTimeout time.Duration `ini:"drain_timeout"`
}

// Log selects the log output.
type Log struct {
	Format string `ini:"format"`
	Level  string `ini:"level"`
}

// Default returns the settings before the file is read.
func Default() Settings {
	return Settings{
		Store:   Store{Timeout: time.Second},
		Network: Network{RegionLatency: 12 * time.Millisecond},
		Limits:  Limits{Calls: 4096, HeaderBytes: 64 << 10, DrainTimeout: 10 * time.Minute},
		Log:     Log{Format: "text", Level: "info"},
	}
}
