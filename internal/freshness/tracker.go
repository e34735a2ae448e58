package freshness

import (
	"sync"
	"sync/atomic"
	"time"
)

// confirmation says that no version above the given one was acknowledged before the time.
type confirmation struct {
	version uint64
	at      time.Duration
}

// Tracker holds the confirmation of one node. It is safe for concurrent use; Confirmed
// takes no lock.
type Tracker struct {
	limit time.Duration

	mu      sync.Mutex
	current atomic.Pointer[confirmation]
}

// NewTracker returns a tracker without a confirmation, for which one older than limit is
// void.
func NewTracker(limit time.Duration) *Tracker { return &Tracker{limit: limit} }

// Confirm records that the store, when asked at the given time, had no version above the
// given one. held is the version that the node has in force: a confirmation of a newer
// one says nothing of it. A confirmation before the known one changes nothing.
func (t *Tracker) Confirm(held, version uint64, asked time.Duration) {
	if version > held {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.current.Load(); known == nil || asked > known.at {
		t.current.Store(&confirmation{version: version, at: asked})
	}
}

// Accept records the statement of another node in response to a question that was sent at
// the given time. The statement is at least as old as that and Held together, however
// long question and response were on their way.
func (t *Tracker) Accept(held uint64, s Statement, sent time.Duration) {
	if s.Age < 0 || s.Held < 0 {
		return
	}
	t.Confirm(held, s.Version, sent+s.Held-s.Age)
}

// State returns the statement for a question that arrived at the given time; false
// without a confirmation.
func (t *Tracker) State(now, arrived time.Duration) (Statement, bool) {
	known := t.current.Load()
	if known == nil {
		return Statement{}, false
	}
	// Rounded so that the receiver takes the confirmation to be older, never newer.
	return Statement{
		Version: known.version,
		Age:     (now - known.at).Truncate(time.Millisecond) + time.Millisecond,
		Held:    max(now-arrived, 0).Truncate(time.Millisecond),
	}, true
}

// Age returns the time since the confirmation; false without one.
func (t *Tracker) Age(now time.Duration) (time.Duration, bool) {
	known := t.current.Load()
	if known == nil {
		return 0, false
	}
	return now - known.at, true
}

// Confirmed reports whether a version in force was the newest one within the limit.
func (t *Tracker) Confirmed(now time.Duration, version uint64) bool {
	known := t.current.Load()
	return known != nil && known.version <= version && now-known.at <= t.limit
}
