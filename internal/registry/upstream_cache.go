package registry

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// upstreamCache holds the upstreams of one view of the fleet, because they are needed
// more often than the fleet changes.
type upstreamCache struct {
	view      *fleet.View
	upstreams []fleet.Entry
}

func (c *upstreamCache) get(view *fleet.View, regions map[string]string, local fleet.Entry) []fleet.Entry {
	if c.view != view {
		c.view, c.upstreams = view, upstreams(view.Entries(), regions, local)
	}
	return c.upstreams
}
