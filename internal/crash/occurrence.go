package crash

import "time"

// Occurrence is content with the time of the event that concerned it.
type Occurrence struct {
	Content Fingerprint
	At      time.Time
}
