package call

import (
	"net"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// knownIPs checks whether a connection comes from a known node. Its set of IP
// addresses is rebuilt when the view changes.
type knownIPs struct {
	current atomic.Pointer[ipSet]
}

// ipSet holds the IP addresses of the nodes in a view.
type ipSet struct {
	view *member.View
	ips  map[string]struct{}
}

// contains reports whether the remote address, host and port, belongs to a node
// in the view.
func (k *knownIPs) contains(view *member.View, remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil || view == nil {
		return false
	}
	set := k.current.Load()
	if set == nil || set.view != view {
		set = newIPSet(view)
		k.current.Store(set)
	}
	_, known := set.ips[host]
	return known
}

func newIPSet(view *member.View) *ipSet {
	set := &ipSet{view: view, ips: make(map[string]struct{}, len(view.Nodes()))}
	for _, record := range view.Nodes() {
		set.ips[record.IP] = struct{}{}
	}
	set.ips[view.Self.IP] = struct{}{}
	return set
}
