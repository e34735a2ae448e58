package crash

import "time"

// brokenExchange is an exchange that broke while a server was running its request.
type brokenExchange struct {
	server  string
	content Fingerprint
	at      time.Time
}
