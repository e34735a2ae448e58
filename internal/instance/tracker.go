package instance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Tracker holds the state of the node's local server. It is safe for concurrent
// use; Server takes no lock.
type Tracker struct {
	current atomic.Pointer[Server]
	now     func() time.Time

	mu sync.Mutex
	// left is set once Leave was called for the current run. Its announcements are stale
	// from then on.
	left bool
	// leavingSince is when the known run announced that it leaves, or Leave was called for it.
	leavingSince time.Time
	departed     departures
	// older is the run that seems to be older than the known one, and superseded the run with
	// the latest start that such a one has replaced as the known one.
	older      olderRun
	superseded fleet.Departure
	listeners  []func(old, new Server)
}

// NewTracker returns a tracker for a server of the given service, which is absent
// until it is announced or observed. now is the clock of the host.
func NewTracker(service string, now func() time.Time) *Tracker {
	t := &Tracker{now: now}
	t.current.Store(&Server{Service: service, State: fleet.Absent})
	return t
}

// Server returns the state of the server.
func (t *Tracker) Server() Server { return *t.current.Load() }

// OnChange registers a function that is called after each change of the server,
// in order. It must not call the tracker's methods that change the server.
func (t *Tracker) OnChange(listener func(old, new Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, listener)
}

// Announce applies an announcement. The error names the invalid field or the
// wrong service, and then nothing has changed.
func (t *Tracker) Announce(a Announcement) (Outcome, error) {
	if err := a.Validate(); err != nil {
		return "", err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	if a.Service != known.Service {
		return "", errors.Errorf("announcement of %s is for service %q, want %q, the service of this node", a.Server, a.Service, known.Service)
	}
	if t.isStale(known, a) {
		return Stale, nil
	}
	if isOlderRun(known, a) && (!t.older.isAlive(t.now(), a) || t.isLeavingAs(known, a.Server)) {
		return t.announceOlder(known, a), nil
	}
	t.older = olderRun{}
	if !isSameRun(known, a) {
		t.replace(known, a)
	}
	next := Server{
		Service: known.Service, ID: a.Server, State: fleet.Ready, Slots: a.Slots, StartTime: a.StartTime, Sequence: a.Sequence,
		Departed: known.Departed,
	}
	if isSameRun(known, a) {
		next.Sequence = max(known.Sequence, a.Sequence)
	}
	if a.Draining {
		next.State, next.Leaving = fleet.Draining, true
		t.recordLeaving(known, next)
	}
	t.left = false
	return t.update(known, next), nil
}

// ObserveHealthy records that a server passed a health check. It makes the known server
// ready again when it was absent, but not when that run has announced that it shuts
// down. The response of a health check does not name the service, so it makes no other
// server known.
func (t *Tracker) ObserveHealthy(server string, slots int) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	switch {
	case known.ID != server || server == "":
		return Unknown
	case known.Leaving:
		return Stale
	case known.State != fleet.Absent:
		return Unchanged
	}
	next := known
	next.State = fleet.Ready
	if next.Slots == 0 {
		next.Slots = slots
	}
	return t.update(known, next)
}

// Restore makes known the server that an earlier process of this node knew, unless one
// is known already. It stays absent until it is announced or observed.
func (t *Tracker) Restore(service, server string) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	if known.ID != "" || server == "" || service != known.Service {
		return Unchanged
	}
	next := known
	next.ID = server
	return t.update(known, next)
}

// SetService changes the service of the node's server, and reports whether it was
// another one. The server is unknown then until one of the new service is announced.
func (t *Tracker) SetService(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	if known.Service == service {
		return false
	}
	t.left = false
	t.update(known, Server{Service: service, State: fleet.Absent, Departed: known.Departed})
	return true
}

// MarkAbsent records that the server does not accept connections, and reports
// whether its state has changed. The next announcement or successful health check
// makes it ready again.
func (t *Tracker) MarkAbsent(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	if known.ID != server || known.State == fleet.Absent {
		return false
	}
	next := known
	next.State = fleet.Absent
	return t.update(known, next) == Applied
}

func (t *Tracker) update(old, next Server) Outcome {
	t.current.Store(&next)
	if old.IsSame(next) && slices.Equal(old.Departed, next.Departed) {
		return Unchanged
	}
	for _, listener := range t.listeners {
		listener(old, next)
	}
	return Applied
}
