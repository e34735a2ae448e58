package instance

import (
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Outcome says what became of an announcement.
type Outcome string

// The outcomes.
const (
	// Applied changed what is known of the server.
	Applied Outcome = "applied"
	// Unchanged was current and said nothing new.
	Unchanged Outcome = "unchanged"
	// Stale was sent before what is known already.
	Stale Outcome = "stale"
)

// Tracker holds the state of the server beside the node. It is safe for
// concurrent use; Server takes no lock.
type Tracker struct {
	service string
	current atomic.Pointer[Server]

	mu sync.Mutex
	// left is set when the current run said that it leaves for good.
	left      bool
	listeners []func(old, new Server)
}

// NewTracker returns a tracker of a server of a service that is not known yet.
func NewTracker(service string) *Tracker {
	t := &Tracker{service: service}
	t.current.Store(&Server{State: fleet.Absent})
	return t
}

// Server returns the state of the server.
func (t *Tracker) Server() Server { return *t.current.Load() }

// OnChange calls a function after each change of the server, in their order. It
// must not call back into the tracker's changing methods.
func (t *Tracker) OnChange(listener func(old, new Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, listener)
}

// Announce takes over an announcement. An error names what is wrong with it, and
// then nothing has changed.
func (t *Tracker) Announce(a Announcement) (Outcome, error) {
	if err := a.Validate(); err != nil {
		return "", err
	}
	if a.Service != t.service {
		return "", errors.Errorf("announcement of %s is for service %q, and the server beside this node is of service %q", a.Server, a.Service, t.service)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.Server()
	if t.isStale(held, a) {
		return Stale, nil
	}
	next := Server{ID: a.Server, State: fleet.Ready, Slots: a.Slots, StartTime: a.StartTime, Sequence: a.Sequence}
	if a.Draining {
		next.State = fleet.Draining
	}
	t.left = false
	return t.change(held, next), nil
}

// Leave notes that a run of the server leaves for good. born is 0 when it was
// not stated, and then the run is the one with that identity.
func (t *Tracker) Leave(server string, born int64) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.Server()
	if held.ID != "" && (held.ID != server || (born != 0 && held.StartTime > born)) {
		return Stale
	}
	next := held
	next.ID, next.State = server, fleet.Draining
	if born != 0 {
		next.StartTime = born
	}
	t.left = true
	return t.change(held, next)
}

// ObserveHealthy takes over the identity of a server that answered a health check, while
// no announcement of the current run is known.
func (t *Tracker) ObserveHealthy(server string, slots int) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.Server()
	if t.left && held.ID == server {
		return Stale
	}
	if held.ID == server && held.State != fleet.Absent {
		return Unchanged
	}
	next := held
	if held.ID != server {
		next = Server{ID: server, Slots: slots}
		t.left = false
	}
	next.State = fleet.Ready
	if next.Slots == 0 {
		next.Slots = slots
	}
	return t.change(held, next)
}

// MarkAbsent notes that the server does not take connections. It is back with its next
// announcement or when it is found.
func (t *Tracker) MarkAbsent(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.Server()
	if held.ID != server || held.State == fleet.Absent {
		return false
	}
	next := held
	next.State = fleet.Absent
	return t.change(held, next) == Applied
}

// isStale reports whether an announcement was sent before what is known.
func (t *Tracker) isStale(held Server, a Announcement) bool {
	if a.StartTime != 0 && held.StartTime != 0 && a.StartTime != held.StartTime {
		return a.StartTime < held.StartTime
	}
	if a.Server != held.ID {
		return false
	}
	return t.left || a.Sequence <= held.Sequence
}

func (t *Tracker) change(old, next Server) Outcome {
	t.current.Store(&next)
	if old.ID == next.ID && old.State == next.State && old.Slots == next.Slots {
		return Unchanged
	}
	for _, listener := range t.listeners {
		listener(old, next)
	}
	return Applied
}
