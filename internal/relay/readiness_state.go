package relay

import "time"

const (
	// parentGrace is how long after its start a node insists on hearing from a
	// parent; later any two peers are enough.
	parentGrace = 2 * time.Second
	// wantedPeers is the number of peers whose version a starting node learns.
	wantedPeers = 2
	// maxStartPeers bounds the peers remembered during the start.
	maxStartPeers = 64
)

// readinessState decides whether a node may serve after its start. The caller
// serializes access.
type readinessState struct {
	started time.Time
	// peers holds the highest version that each peer named. A peer that holds
	// nothing knows nothing and is not counted.
	peers  map[string]uint64
	parent bool
	// store is set after the store answered; stored is the version it holds.
	store  bool
	stored uint64
}

func newReadinessState(started time.Time) *readinessState {
	return &readinessState{started: started, peers: make(map[string]uint64)}
}

// peerNamed records the version that a peer holds.
func (s *readinessState) peerNamed(node string, version uint64, parent bool) {
	if version == 0 {
		return
	}
	if _, found := s.peers[node]; !found && len(s.peers) >= maxStartPeers {
		return
	}
	s.peers[node] = max(s.peers[node], version)
	s.parent = s.parent || parent
}

// storeNamed records the version that the store holds; 0 when it holds none.
func (s *readinessState) storeNamed(version uint64) {
	s.store = true
	s.stored = max(s.stored, version)
}

// mayServe reports whether the held version is at least as new as every version
// named by the parent and one more neighbour, or by the store when the peers
// did not answer. others is the number of other nodes known to be alive and
// hasParents says whether the node has a parent to wait for.
func (s *readinessState) mayServe(held uint64, others int, hasParents bool, now time.Time) bool {
	if held < s.newest() {
		return false
	}
	if s.store {
		return true
	}
	if hasParents && !s.parent && now.Sub(s.started) < parentGrace {
		return false
	}
	return len(s.peers) >= max(1, min(wantedPeers, others))
}

func (s *readinessState) newest() uint64 {
	newest := s.stored
	for _, version := range s.peers {
		newest = max(newest, version)
	}
	return newest
}
