package crash

import "time"

// maxRecentContents bounds the contents of each half of recentContents.
const maxRecentContents = 512

// recentContents holds what one run of a server has finished within vouchWindow. When
// more is finished in that time, the oldest is dropped first.
type recentContents struct {
	server string
	// newer and older are filled one after the other, each for half of the window.
	newer, older map[Fingerprint]time.Time
	newerSince   time.Time
}

// add records that a server finished content.
func (r *recentContents) add(now time.Time, server string, content Fingerprint) {
	if server != r.server {
		*r = recentContents{server: server}
	}
	if r.newer == nil || len(r.newer) >= maxRecentContents || now.Sub(r.newerSince) >= vouchWindow/2 {
		r.older, r.newer, r.newerSince = r.newer, make(map[Fingerprint]time.Time), now
	}
	r.newer[content] = now
}

// contains reports whether a server finished content within vouchWindow.
func (r *recentContents) contains(now time.Time, server string, content Fingerprint) bool {
	if server != r.server {
		return false
	}
	at, found := r.newer[content]
	if !found {
		at, found = r.older[content]
	}
	return found && now.Sub(at) <= vouchWindow
}
