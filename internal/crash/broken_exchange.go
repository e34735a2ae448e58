package crash

import "time"

// brokenExchange is an exchange that broke, or was abandoned by its caller, while a server
// was running its request.
type brokenExchange struct {
	server    string
	content   Fingerprint
	at        time.Time
	abandoned bool
}
