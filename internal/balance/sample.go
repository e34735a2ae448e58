package balance

import (
	"cmp"
	"math"
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// fewCandidates is the number of candidates at one distance up to which all of
	// them are compared.
	fewCandidates = 3
	// sampledCandidates is the number that is drawn from more. Fronts that compared
	// them all with loads of the same age would send to the same one together (power
	// of two choices, Mitzenmacher, IEEE Transactions on Parallel and Distributed
	// Systems 12(10), 2001).
	sampledCandidates = 2
)

// candidate is a node that may be chosen.
type candidate struct {
	entry fleet.Entry
	peer  *peer
	// key orders a random sample.
	key float64
}

// sample keeps a few of the candidates at one distance, drawn with a chance that is
// proportional to the requests that their servers finish in a time (weighted
// sampling without replacement, Efraimidis and Spirakis, Information Processing
// Letters 97(5), 2006).
func sample(group []candidate, random func() float64) []candidate {
	if len(group) <= fewCandidates {
		return group
	}
	usualHold := meanHold(group)
	for i := range group {
		hold := float64(group[i].peer.report.HoldTime)
		if hold == 0 {
			hold = usualHold
		}
		capacity := float64(max(group[i].entry.Slots, 1)) / hold
		// 1 minus the random number is above 0, so that its logarithm is finite.
		group[i].key = -math.Log(1-random()) / capacity
	}
	slices.SortFunc(group, func(a, b candidate) int { return cmp.Compare(a.key, b.key) })
	return group[:sampledCandidates]
}

// meanHold returns the average hold time of the servers that reported one; 1 when
// none did.
func meanHold(group []candidate) float64 {
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
