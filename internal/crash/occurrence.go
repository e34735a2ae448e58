package crash

import "time"

// Occurrence is the content of a request and the time at which its server crashed or
// finished it. All occurrences of one crash have the same time.
type Occurrence struct {
	Content Fingerprint
	At      time.Time
}
