package relay

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

const (
	// repairDelay is how long a node stays behind a neighbour before it fetches
	// from it. An update through the tree normally arrives within that time.
	repairDelay = 60 * time.Millisecond
	// remoteRepairDelay applies to nodes of another region, so that a neighbour
	// of the local region is tried first and each version crosses the link
	// once.
	remoteRepairDelay = 150 * time.Millisecond
	// maxPeerDigests is the maximum number of peers whose digests are kept.
	maxPeerDigests = 128
)

// peerDigest is a digest newer than the one in force that another node
// reported.
type peerDigest struct {
	digest config.Digest
	// since is when the peer was first seen ahead, or when the last fetch from
	// it failed.
	since time.Time
	// delay is how long to wait for an update through the tree before fetching.
	delay time.Duration
}

// repairState tracks which nodes are ahead of this one. The caller serializes
// access.
type repairState struct {
	peers map[string]peerDigest
}

func newRepairState() *repairState {
	return &repairState{peers: make(map[string]peerDigest)}
}

// observe records the digest that a node reported. A node that was ahead and
// still is keeps its time, so that a sequence of changes cannot postpone the
// repair. It returns false when the maximum number of nodes is tracked already.
func (s *repairState) observe(node string, digest, held config.Digest, delay time.Duration, now time.Time) bool {
	if digest.Version <= held.Version {
		delete(s.peers, node)
		return true
	}
	old, found := s.peers[node]
	if !found && len(s.peers) >= maxPeerDigests {
		return false
	}
	if found && old.digest.Version > held.Version {
		s.peers[node] = peerDigest{digest: digest, since: old.since, delay: min(old.delay, delay)}
		return true
	}
	s.peers[node] = peerDigest{digest: digest, since: now, delay: delay}
	return true
}

// next returns the node to fetch from now. Otherwise it returns how long to
// wait before the next decision; 0 when no node is ahead. A digest that was
// rejected for its content is not fetched again.
func (s *repairState) next(held, rejected config.Digest, now time.Time) (node string, wait time.Duration) {
	best := config.Digest{}
	for candidate, peer := range s.peers {
		switch remaining := peer.since.Add(peer.delay).Sub(now); {
		case peer.digest.Version <= held.Version || peer.digest == rejected:
			delete(s.peers, candidate)
		case remaining > 0:
			if wait == 0 || remaining < wait {
				wait = remaining
			}
		case peer.digest.Version > best.Version || peer.digest.Version == best.Version && candidate < node:
			best, node = peer.digest, candidate
		}
	}
	if node != "" {
		return node, 0
	}
	return "", wait
}

// recordFailure delays the next fetch from a node after a failed one, so that
// the others are tried first.
func (s *repairState) recordFailure(node string, now time.Time) {
	if peer, found := s.peers[node]; found {
		s.peers[node] = peerDigest{digest: peer.digest, since: now, delay: repairDelay}
	}
}
