package crash

import "time"

// Occurrence is the content of a request and the time at which its exchange broke,
// its server crashed or its server finished it.
type Occurrence struct {
	Content Fingerprint
	At      time.Time
}
