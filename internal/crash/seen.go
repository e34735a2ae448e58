package crash

import "time"

// Seen is a content with the time at which something happened to it.
type Seen struct {
	Content Fingerprint
	At      time.Time
}
