package claim

import (
	"slices"
	"time"
)

const (
	// maxCopyAge is the age up to which a copy is allowed for from which the store
	// comes back, counted from the last response before. The platform states some
	// seconds; a minute leaves a margin and keeps two segments of a shard in memory
	// at 25 claims a second.
	maxCopyAge = time.Minute
	// maxClockSkew is the difference of two nodes' clocks that is allowed for when the
	// time of a seal tells whether a copy may lack the segment.
	maxClockSkew = time.Minute
)

// recentSegment is a sealed segment that a copy of the store may lack.
type recentSegment struct {
	name    segmentName
	records []record
	// learnedAt is when this log learned that the segment is in use.
	learnedAt time.Time
}

// recentSegments holds the records of such segments, oldest first, so that they can be
// written again.
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

// filter returns the segments to keep.
func (r recentSegments) filter(keep func(recentSegment) bool) recentSegments {
	return slices.DeleteFunc(slices.Clone(r), func(s recentSegment) bool { return !keep(s) })
}
