package claim

import "time"

// recentSegment is a sealed segment that a copy of the store may lack.
type recentSegment struct {
	name    segmentName
	records []record
	// learnedAt is when this log learned that the segment is in use.
	learnedAt time.Time
}
