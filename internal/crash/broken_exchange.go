package crash

import (
	"slices"
	"time"
)

// brokenExchange is an exchange that broke, or was abandoned by its caller, while a server
// was running its request.
type brokenExchange struct {
	server  string
	content Fingerprint
	at      time.Time
}

// addRecent adds an exchange to a list and drops those that no crash is charged to any
// more, and the oldest beyond a limit.
func addRecent(list []brokenExchange, added brokenExchange, limit int) []brokenExchange {
	list = slices.DeleteFunc(list, func(b brokenExchange) bool { return added.at.Sub(b.at) > attributionWindow })
	if len(list) >= limit {
		list = list[1:]
	}
	return append(list, added)
}

// splitByServer returns the recent exchanges with a server, and those with others.
func splitByServer(list []brokenExchange, now time.Time, server string) (with, others []brokenExchange) {
	for _, b := range list {
		switch {
		case now.Sub(b.at) > attributionWindow:
		case b.server == server:
			with = append(with, b)
		default:
			others = append(others, b)
		}
	}
	return with, others
}
