package relay

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

const (
	// repairDelay is how long a node stays behind a neighbour before it fetches
	// from it. In that time an update through the tree arrives normally.
	repairDelay = 60 * time.Millisecond
	// farRepairDelay applies to nodes of another region, so that a neighbour of
	// the own region is asked first and the link carries a version once.
	farRepairDelay = 150 * time.Millisecond
	// maxSightings bounds the nodes whose digests are remembered.
	maxSightings = 128
)

// sighting is a digest that another node named.
type sighting struct {
	digest config.Digest
	// since is when the node was first seen ahead, or last tried in vain.
	since time.Time
	// delay is how long to wait for the tree before fetching.
	delay time.Duration
}

// repairState remembers which nodes are ahead. The caller serializes access.
type repairState struct {
	sightings map[string]sighting
}

func newRepairState() *repairState {
	return &repairState{sightings: make(map[string]sighting)}
}

// observe records the digest that a node named. A node that was ahead and still
// is keeps its time, so that a stream of changes cannot postpone the repair. It
// returns false when there is no room for the node.
func (s *repairState) observe(node string, digest, held config.Digest, delay time.Duration, now time.Time) bool {
	if digest.Version <= held.Version {
		delete(s.sightings, node)
		return true
	}
	old, found := s.sightings[node]
	if !found && len(s.sightings) >= maxSightings {
		return false
	}
	if found && old.digest.Version > held.Version {
		s.sightings[node] = sighting{digest: digest, since: old.since, delay: min(old.delay, delay)}
		return true
	}
	s.sightings[node] = sighting{digest: digest, since: now, delay: delay}
	return true
}

// decide returns the node to fetch from now. Otherwise it returns how long to
// wait before the next decision; 0 when no node is ahead. A digest that the
// node refused for its content is not fetched again.
func (s *repairState) decide(held, refused config.Digest, now time.Time) (node string, wait time.Duration) {
	best := config.Digest{}
	for candidate, seen := range s.sightings {
		switch remaining := seen.since.Add(seen.delay).Sub(now); {
		case seen.digest.Version <= held.Version || seen.digest == refused:
			delete(s.sightings, candidate)
		case remaining > 0:
			if wait == 0 || remaining < wait {
				wait = remaining
			}
		case seen.digest.Version > best.Version || seen.digest.Version == best.Version && candidate < node:
			best, node = seen.digest, candidate
		}
	}
	if node != "" {
		return node, 0
	}
	return "", wait
}

// failed puts a node that could not be fetched from behind the others.
func (s *repairState) failed(node string, now time.Time) {
	if seen, found := s.sightings[node]; found {
		s.sightings[node] = sighting{digest: seen.digest, since: now, delay: repairDelay}
	}
}
