package crash

import "time"

// Occurrence is a content with the time at which something happened to it.
type Occurrence struct {
	Content Fingerprint
	At      time.Time
}
