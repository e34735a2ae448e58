package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// minRevoke is the shortest time in which a node can be told of the store's newest
// configuration through two other nodes, and can ask the store itself if it is not.
const minRevoke = 2 * time.Second

// Validate returns an error that names the first invalid key. path is the settings
// file, for the message.
func (s Sidecar) Validate(path string) error { return firstInvalid(path, s.checks()) }

func (s Sidecar) checks() []check {
	regions, err := s.RegionByDomain()
	return []check{
		{"node", "host", s.Node.Host != "", "the host name"},
		{"node", "ip", net.ParseIP(s.Node.IP) != nil, "an IP address"},
		{"node", "regions", err == nil, "a list of domain:region"},
		{"node", "failure_domain", regions[s.Node.FailureDomain] != "", "a failure domain that regions names"},
		{"node", "service", s.Node.Service != "", "the service of the backend server"},
		{"node", "server", validAddress(s.Node.Server), "an IP address and a port"},
		{"node", "link_mbps", s.Node.LinkMbps >= 0, "0 or more"},
		{"listen", "front", validAddress(s.Listen.Outbound), "an IP address and a port"},
		{"listen", "gate", validAddress(s.Listen.Inbound), "an IP address and a port"},
		{"listen", "advertise", s.Listen.Advertise == "" || validAddress(s.Listen.Advertise), "an IP address and a port, or empty"},
		{"listen", "ready", validAddress(s.Listen.Ready), "an IP address and a port"},
		{"listen", "announce", validAddress(s.Listen.Announce), "an IP address and a port"},
		{"listen", "metrics", validPort(s.Listen.Metrics), "a port from 1 to 65535"},
		{"callers", "max_pipelined", s.Callers.MaxPipelined > 0, "above 0"},
		{"callers", "max_connections", s.Callers.MaxConnections > 0, "above 0"},
		{"callers", "max_incomplete_head_bytes", s.Callers.MaxIncompleteHeadBytes > 0, "above 0"},
		{"callers", "idle_limit_notice", s.Callers.IdleLimitNotice > 0, "above 0"},
		{"store", "address", validAddress(s.Store.Address), "an IP address and a port"},
		{"store", "min_lease", s.Store.MinLease > 0, "above 0"},
		{"bounds", "settle", s.Bounds.Settle > 0, "above 0"},
		{"bounds", "grace", s.Bounds.Grace > 0, "above 0"},
		{"bounds", "retry_ratio", s.Bounds.RetryRatio >= 0 && s.Bounds.RetryRatio <= 1, "from 0 to 1"},
		{"bounds", "retry_window", s.Bounds.RetryWindow > 0, "above 0"},
		{"bounds", "retry_slack", s.Bounds.RetrySlack >= 0, "0 or more"},
		{"bounds", "config_apply", s.Bounds.ConfigApply > 0, "above 0"},
		{"bounds", "revoke", s.Bounds.Revoke >= 0 && (s.Bounds.Revoke >= minRevoke || !s.Bounds.FailClosed), "2s or more where revoke_fail_closed is true"},
		{"bounds", "rate_window", s.Bounds.RateWindow > 0, "above 0"},
		{"bounds", "rate_overage", s.Bounds.RateOverage >= 0 && s.Bounds.RateOverage <= 1, "from 0 to 1"},
		{"prices", "cross_domain_per_mb", s.Costs.CrossDomainPerMB >= 0, "0 or more"},
		{"prices", "cross_region_per_mb", s.Costs.CrossRegionPerMB >= 0, "0 or more"},
		{"log", "format", slices.Contains([]string{"text", "json"}, s.Log.Format), "text or json"},
		{"log", "level", slices.Contains([]string{"debug", "info", "warning", "error"}, s.Log.Level), "debug, info, warning or error"},
	}
}

// RegionByDomain returns the region of each failure domain. It fails when an element
// of Regions is not domain:region.
func (s Sidecar) RegionByDomain() (map[string]string, error) {
	regions := make(map[string]string, len(s.Node.Regions))
	for _, pair := range s.Node.Regions {
		domain, region, found := strings.Cut(strings.TrimSpace(pair), ":")
		if !found || domain == "" || region == "" {
			return nil, result.Errorf(result.SettingsInvalid, "element %q of regions is not of the form domain:region", pair)
		}
		regions[domain] = region
	}
	return regions, nil
}
