package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// fallbackReadersPerRegion is the number of nodes of a region that read a changed
	// configuration from the store when the region has no news. They include its usual
	// readers, which may be what it has lost.
	fallbackReadersPerRegion = 4
	// nearPeerTimeout bounds a query to a node of the own region. A compressed
	// configuration takes a tenth of it on the slowest links.
	nearPeerTimeout = 300 * time.Millisecond
	// nearPeerPause is the time between two rounds of such queries, and nearPeerRounds their
	// number before the store is asked again whether its configuration has changed.
	nearPeerPause  = 150 * time.Millisecond
	nearPeerRounds = 4
)

// mustReadStore reports whether a follower without news has to read the changed
// configuration from the store. Its leaders may have failed for all nodes of the region at
// once. If each of them read a large configuration over a thin link between regions, none
// would get it in time. So a few fallback readers do it, and the others ask those and a
// random node for the compressed one. A node that nobody answers is cut off, and reads at
// once.
func (r *Registry) mustReadStore(ctx context.Context) bool {
	before := r.deps.Routes.Version()
	for round := range nearPeerRounds {
		if round > 0 && !pause(ctx, nearPeerPause) {
			return false
		}
		near := r.nearEntries()
		if !r.queryNearPeers(ctx, near) {
			return true
		}
		if r.deps.Routes.Version() > before {
			return false
		}
		// Fallback readers may be down, so any node may read now and then.
		if r.isFallbackReader(near) || r.deps.Random()*float64(len(near)) < 1 {
			return true
		}
	}
	return false
}

// nearEntries returns the nodes of the own region, this one included, by preference.
func (r *Registry) nearEntries() []fleet.Entry {
	region := r.config.Regions[r.LocalEntry().Domain]
	near := slices.DeleteFunc(slices.Clone(r.deps.Fleet.View().Entries()), func(e fleet.Entry) bool { return r.config.Regions[e.Domain] != region })
	slices.SortFunc(near, comparePreference)
	return near
}

// isFallbackReader reports whether this node is a fallback reader among the nodes of the
// region.
func (r *Registry) isFallbackReader(near []fleet.Entry) bool {
	local := r.LocalEntry().Node
	return slices.ContainsFunc(near[:min(len(near), fallbackReadersPerRegion)], func(e fleet.Entry) bool { return e.Node == local })
}

// queryNearPeers queries a fallback reader and another node of the region, and reports
// whether one of them responded.
func (r *Registry) queryNearPeers(ctx context.Context, near []fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, nearPeerTimeout)
	defer cancel()
	preferred := min(len(near), fallbackReadersPerRegion)
	var responded [2]bool
	var queries sync.WaitGroup
	for i, candidates := range [][]fleet.Entry{near[:preferred], near} {
		if peer, found := r.pickOther(candidates, isAny); found {
			queries.Go(func() { responded[i] = r.queryPeer(ctx, peer) })
		}
	}
	queries.Wait()
	return responded[0] || responded[1]
}
