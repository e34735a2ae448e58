package instance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Outcome is the result of applying an announcement or an observation.
type Outcome string

// Outcomes.
const (
	// Applied means that the state of the server changed.
	Applied Outcome = "applied"
	// Unchanged means that the input was current but changed nothing.
	Unchanged Outcome = "unchanged"
	// Stale means that the input was older than the known state.
	Stale Outcome = "stale"
	// Unknown means that the input names a server that has not announced itself. It may
	// be one of another service that was given the address.
	Unknown Outcome = "unknown"
	// Departed means that a run other than the known one has left. The state did not change,
	// but announcements of that run are stale from then on.
	Departed Outcome = "departed"
	// Unordered means that it is not known whether the input is older than the known state.
	// It must not be acknowledged; one that is repeated will be applied.
	Unordered Outcome = "unordered"
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

// isLeavingAs reports whether the known run has left under an identity so recently that
// another one under it can't be told from a late announcement.
func (t *Tracker) isLeavingAs(known Server, server string) bool {
	return known.Leaving && known.ID == server && t.now().Sub(t.leavingSince) < departureTTL
}

// announceOlder applies an announcement of a run that seems to be older than the known one
// and does not replace it.
func (t *Tracker) announceOlder(known Server, a Announcement) Outcome {
	switch {
	case !a.Draining:
		return Stale
	case a.Server == known.ID && !known.Leaving:
		// Requests for the known run reach this one if it is alive after all.
		return Unordered
	default:
		next := known
		t.depart(&next, departure{Departure: fleet.Departure{Server: a.Server, StartedBy: a.StartTime}, at: t.now()})
		t.update(known, next)
		return Departed
	}
}

// Leave records that a run of the server shuts down. startTime is 0 when it was
// not stated, and then the run is identified by server alone. The run need not be known:
// its announcements may still be on their way.
func (t *Tracker) Leave(server string, startTime int64) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	left := fleet.Departure{Server: server, StartedBy: startTime}
	if startTime == 0 {
		left.StartedBy = t.now().UnixMilli()
	}
	if startTime == 0 && known.ID == server {
		left.StartedBy = max(left.StartedBy, known.StartTime)
	}
	next := known
	if known.ID != "" && (known.ID != server || (startTime != 0 && known.StartTime > startTime)) {
		t.depart(&next, departure{Departure: left, at: t.now()})
		t.leaveSuperseded(server)
		t.update(known, next)
		return Departed
	}
	if known.Leaving && !t.left {
		// Leaving tells the next process of the node enough of a run that announced it.
		t.departed.add(departure{Departure: left, at: t.now()})
	} else {
		t.depart(&next, departure{Departure: left, at: t.now()})
	}
	next.ID, next.State, next.Leaving = server, fleet.Draining, true
	if startTime != 0 {
		next.StartTime = startTime
	}
	t.left = true
	t.recordLeaving(known, next)
	return t.update(known, next)
}

// replace records that the run of an announcement takes the place of the known one.
func (t *Tracker) replace(known Server, a Announcement) {
	run := fleet.Departure{Server: known.ID, StartedBy: known.StartTime}
	switch {
	case isOlderRun(known, a) && known.StartTime > t.superseded.StartedBy:
		t.superseded = run
	case a.StartTime > t.superseded.StartedBy:
		t.superseded = fleet.Departure{}
	}
	if known.Leaving {
		t.departed.add(departure{Departure: run, at: t.now()})
	}
}

// recordLeaving records when the known run has left.
func (t *Tracker) recordLeaving(known, next Server) {
	if !known.Leaving || known.ID != next.ID || known.StartTime != next.StartTime {
		t.leavingSince = t.now()
	}
	t.leaveSuperseded(next.ID)
}

// leaveSuperseded records, as a run leaves, the departure of one under the same identity
// that was superseded. A late announcement of that one would seem to be newer.
func (t *Tracker) leaveSuperseded(server string) {
	if t.superseded.Server == server {
		t.departed.add(departure{Departure: t.superseded, exact: true, at: t.now()})
	}
}

// Depart records a departure that an earlier process of this node knew.
func (t *Tracker) Depart(left fleet.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	next := known
	t.depart(&next, departure{Departure: left, at: t.now()})
	t.update(known, next)
}

func (t *Tracker) depart(next *Server, left departure) {
	t.departed.add(left)
	next.Departed = latestDepartures(next.Departed, left.Departure)
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

// isStale reports whether an announcement was sent before the known state or by a run that
// has left. The first one by which a run says that it leaves never is: its acknowledgement
// promises that no requests follow, and a run does not come back.
func (t *Tracker) isStale(known Server, a Announcement) bool {
	if t.departed.covers(t.now(), a) {
		return true
	}
	if !isSameRun(known, a) {
		return false
	}
	if a.Draining && !known.Leaving {
		return false
	}
	if t.left && known.StartTime != 0 {
		return true
	}
	return a.Sequence <= known.Sequence
}

// isSameRun reports whether an announcement comes from the known run of the server.
func isSameRun(known Server, a Announcement) bool {
	return a.Server == known.ID && (a.StartTime == known.StartTime || a.StartTime == 0 || known.StartTime == 0)
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
