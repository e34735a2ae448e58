package relay

import "time"

const (
	// parentGrace is how long after its start a node requires a message of a
	// parent. After that, any two peers are enough.
	parentGrace = 2 * time.Second
	// requiredPeers is the number of peers whose version a starting node must
	// know.
	requiredPeers = 2
	// maxTrackedPeers is the maximum number of peers tracked during startup.
	maxTrackedPeers = 64
)

// readinessState decides whether a node may serve calls after its start. The
// caller serializes access.
type readinessState struct {
	started time.Time
	// peers holds the highest version that each peer reported. A peer without a
	// configuration cannot confirm a version and is not counted.
	peers           map[string]uint64
	parentResponded bool
	// storeResponded is set after a response of the store; storeVersion is the
	// version that it holds.
	storeResponded bool
	storeVersion   uint64
}

func newReadinessState(started time.Time) *readinessState {
	return &readinessState{started: started, peers: make(map[string]uint64)}
}

// recordPeerVersion records the version that a peer holds.
func (s *readinessState) recordPeerVersion(node string, version uint64, isParent bool) {
	if version == 0 {
		return
	}
	if _, found := s.peers[node]; !found && len(s.peers) >= maxTrackedPeers {
		return
	}
	s.peers[node] = max(s.peers[node], version)
	s.parentResponded = s.parentResponded || isParent
}

// recordStoreVersion records the version that the store holds; 0 when it holds
// none.
func (s *readinessState) recordStoreVersion(version uint64) {
	s.storeResponded = true
	s.storeVersion = max(s.storeVersion, version)
}

// mayServe reports whether the held version is at least as new as every version
// reported by the parent and one more peer, or by the store when the peers did
// not respond. otherNodes is the number of other nodes known to be alive, and
// hasParents says whether the node has a parent to wait for.
func (s *readinessState) mayServe(held uint64, otherNodes int, hasParents bool, now time.Time) bool {
	if held < s.newestVersion() {
		return false
	}
	if s.storeResponded {
		return true
	}
	if hasParents && !s.parentResponded && now.Sub(s.started) < parentGrace {
		return false
	}
	return len(s.peers) >= max(1, min(requiredPeers, otherNodes))
}

func (s *readinessState) newestVersion() uint64 {
	newest := s.storeVersion
	for _, version := range s.peers {
		newest = max(newest, version)
	}
	return newest
}
