package settings

import (
	"net"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Upper bounds of settings values.
const (
	maxPort         = 65535
	maxBatch        = time.Second
	maxStoreTimeout = time.Minute
)

// check is a condition on the value of a key. want completes the message "must be
// ...".
type check struct {
	section, key string
	valid        bool
	want         string
}

// Validate returns an error that names the first invalid key. path is the settings
// file, for the message.
func (s Settings) Validate(path string) error { return firstInvalid(path, s.checks()) }

func firstInvalid(path string, checks []check) error {
	for _, check := range checks {
		if !check.valid {
			return result.Errorf(result.SettingsInvalid, "%s: section [%s]: key %q must be %s", path, check.section, check.key, check.want)
		}
	}
	return nil
}

func (s Settings) checks() []check {
	checks := []check{
		{"node", "host", s.Node.Host != "", "the host name"},
		{"node", "ip", net.ParseIP(s.Node.IP) != nil, "an IP address"},
		{"node", "region", s.Node.Region != "", "the region of the host"},
		{"node", "failure_domain", s.Node.FailureDomain != "", "the failure domain of the host"},
		{"node", "call_port", validPort(s.Node.CallPort), "a port from 1 to 65535"},
		{"node", "control_port", validPort(s.Node.ControlPort), "a port from 1 to 65535"},
		{"node", "operator_port", validPort(s.Node.OperatorPort), "a port from 1 to 65535"},
		{"node", "announce_port", validPort(s.Node.AnnouncePort), "a port from 1 to 65535"},
		{"store", "address", validAddress(s.Store.Address), "an IP address and a port"},
		{"store", "region", s.Store.Region != "", "the region of the store"},
		{"store", "timeout", s.Store.Timeout > 0 && s.Store.Timeout <= maxStoreTimeout, "above 0 and at most 1m"},
		{"network", "egress_proxy", s.Network.EgressProxy == "" || validAddress(s.Network.EgressProxy), "an IP address and a port, or empty"},
		{"network", "region_latency", s.Network.RegionLatency >= 0, "0 or more"},
		{"distribution", "batch", s.Distribution.Batch >= 0 && s.Distribution.Batch <= maxBatch, "from 0s to 1s"},
		{"limits", "calls", s.Limits.Calls > 0, "above 0"},
		{"limits", "header_bytes", s.Limits.HeaderBytes > 0, "above 0"},
		{"limits", "drain_timeout", s.Limits.DrainTimeout > 0, "above 0"},
		{"log", "format", slices.Contains([]string{"text", "json"}, s.Log.Format), "text or json"},
		{"log", "level", slices.Contains([]string{"debug", "info", "warning", "error"}, s.Log.Level), "debug, info, warning or error"},
	}
	for _, node := range s.Seeds.Nodes {
		checks = append(checks, check{"seeds", "nodes", validAddress(node), "a list of IP addresses and ports"})
	}
	return append(checks, check{"node", "call_port", s.distinctPorts(), "different from the other ports"})
}

func (s Settings) distinctPorts() bool {
	ports := []int{s.Node.CallPort, s.Node.ControlPort, s.Node.OperatorPort, s.Node.AnnouncePort}
	slices.Sort(ports)
	return len(slices.Compact(ports)) == 4
}

func validPort(port int) bool {
	return port > 0 && port <= maxPort
}

func validAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}
