package claim

import (
	"slices"
	"time"
)

const (
	// maxCopyAge is the largest supported age of the copy from which the store is
	// restored, counted from the last response before the restore. The platform states
	// some seconds; a minute leaves a margin and keeps two segments of a shard in
	// memory at 25 claims a second.
	maxCopyAge = time.Minute
	// maxClockSkew is the largest supported difference of two nodes' clocks. Seals are
	// dated by the clock of the node that made them.
	maxClockSkew = time.Minute
)

// recentSegments holds the segments that a copy of the store may lack, oldest first, so
// that their records can be written again.
type recentSegments []recentSegment

// find returns the records of a segment; false when they are not held.
func (r recentSegments) find(name segmentName) ([]record, bool) {
	for _, segment := range r {
		if segment.name.equal(name) {
			return segment.records, true
		}
	}
	return nil, false
}

// with returns the segments with one added or replaced.
func (r recentSegments) with(added recentSegment) recentSegments {
	others := r.filter(func(s recentSegment) bool { return !s.name.equal(added.name) })
	return append(others, added)
}

// filter returns the segments for which keep returns true.
func (r recentSegments) filter(keep func(recentSegment) bool) recentSegments {
	return slices.DeleteFunc(slices.Clone(r), func(s recentSegment) bool { return !keep(s) })
}
