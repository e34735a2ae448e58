package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// maxCompared is the number of candidates at one distance up to which all of
	// them are compared.
	maxCompared = 3
	// sampleSize is the number of candidates drawn when there are more. Outbound
	// proxies that compared all candidates by equally old loads would all send to
	// the same one (power of two choices, Mitzenmacher, IEEE Transactions on
	// Parallel and Distributed Systems 12(10), 2001).
	sampleSize = 2
)

// candidate is a node that may be chosen.
type candidate struct {
	entry *fleet.Entry
	peer  *peer
	// key is the random sort key of the sample.
	key float64
}

// sample returns a few of the candidates at one distance, drawn with a
// probability proportional to the throughput of their servers in requests
// (weighted sampling without replacement, Efraimidis and Spirakis, Information
// Processing Letters 97(5), 2006).
func sample(now time.Time, group []candidate, random func() float64) []candidate {
	if len(group) <= maxCompared {
		return group
	}
	defaultHold := meanHoldTime(group)
	for i := range group {
		hold := float64(group[i].peer.report.HoldTime)
		if hold == 0 {
			hold = defaultHold
		}
		slots, hold := group[i].peer.capacity(now, float64(max(group[i].entry.Slots, 1)), hold)
		capacity := slots / hold
		// 1-random() is above 0, so its logarithm is finite.
		group[i].key = -math.Log(1-random()) / capacity
	}
	slices.SortFunc(group, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	return group[:sampleSize]
}

// meanHoldTime returns the mean hold time, in nanoseconds, of the servers that
// reported one; 1 when none did.
func meanHoldTime(group []candidate) float64 {
	sum, known := 0.0, 0
	for _, c := range group {
		if c.peer.report.HoldTime > 0 {
			sum += float64(c.peer.report.HoldTime)
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
}
