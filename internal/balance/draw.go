package balance

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// candidatesDrawn is the number of candidates drawn at one distance, from which
	// the sample is taken by capacity. It covers the servers of a service in a
	// failure domain of most deployments, and the shares of fast and slow servers
	// come close to those of a sample from all.
	candidatesDrawn = 8
	// maxDrawn bounds the draws at one distance when nodes are left out because they
	// are in backoff. With three quarters of them in backoff, 32 draws find no other
	// one in 1 of 10,000 choices.
	maxDrawn = 32
)

// draw holds candidates that were drawn at one distance.
type draw struct {
	available, inBackoff       [candidatesDrawn]candidate
	numAvailable, numInBackoff int
}

// draw returns candidates of the groups at one distance, chosen uniformly at random. It ends when enough
// available ones were found, so that its cost doesn't grow with the number of
// candidates.
func (b *Balancer) draw(now time.Time, groups []fleet.Group, request Request) draw {
	var d draw
	order := shuffle{size: countNodes(groups)}
	for d.numAvailable < candidatesDrawn {
		i, ok := order.next(request.Random)
		if !ok {
			break
		}
		entry := entryAt(groups, i)
		if slices.Contains(request.Excluded, entry.Node) {
			continue
		}
		c := candidate{entry: entry, peer: b.peer(entry)}
		switch {
		case !c.peer.inBackoff(now):
			d.available[d.numAvailable] = c
			d.numAvailable++
		case d.numInBackoff < candidatesDrawn:
			d.inBackoff[d.numInBackoff] = c
			d.numInBackoff++
		}
	}
	return d
}

func countNodes(groups []fleet.Group) int {
	count := 0
	for _, group := range groups {
		count += group.Len()
	}
	return count
}

// entryAt returns the entry at an index below countNodes.
func entryAt(groups []fleet.Group, index int) *fleet.Entry {
	for _, group := range groups {
		if index < group.Len() {
			return group.At(index)
		}
		index -= group.Len()
	}
	return nil
}
