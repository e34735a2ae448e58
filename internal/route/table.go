package route

import (
	"maps"
	"sync"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// table holds the tracked servers by node id. Readers load an immutable map;
// writers replace it.
type table struct {
	current    atomic.Pointer[map[string]*server]
	untracked  atomic.Uint64
	maxServers int
	// writeMu serializes writers, which are rare: they add and remove servers.
	writeMu sync.Mutex
}

func newTable(limit int) *table {
	t := &table{maxServers: limit}
	t.current.Store(&map[string]*server{})
	return t
}

// get returns a tracked server, or nil when the node is not tracked.
func (t *table) get(id string) *server {
	return (*t.current.Load())[id]
}

// track returns the server of a node and starts to track it. When the table is
// full it returns a new server that is not tracked.
func (t *table) track(id string) *server {
	if existing := t.get(id); existing != nil {
		return existing
	}
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	servers := *t.current.Load()
	if existing := servers[id]; existing != nil {
		return existing
	}
	added := &server{}
	if len(servers) >= t.maxServers {
		t.untracked.Add(1)
		return added
	}
	next := maps.Clone(servers)
	next[id] = added
	t.current.Store(&next)
	return added
}

// removeDeparted removes the servers that are no longer in the view and have no
// calls in flight.
func (t *table) removeDeparted(view *member.View) {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	next := maps.Clone(*t.current.Load())
	maps.DeleteFunc(next, func(id string, s *server) bool {
		_, known := view.Node(id)
		return !known && s.inFlight.Load() == 0
	})
	t.current.Store(&next)
}
