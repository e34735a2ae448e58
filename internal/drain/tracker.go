// Package drain tracks the backend server beside the node: what it announced,
// whether a planned stop covers it and how many calls it is running.
//
// It owns the state of that server. A server that falls silent or refuses a
// connection is gone until it announces itself again. A planned stop only keeps
// new work away; calls in flight are never cut.
package drain

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Snapshots gives the configuration in force; nil before the first one.
type Snapshots interface {
	Load() *config.Snapshot
}

// Tracker holds the state of the backend server. It is safe for concurrent use;
// Effective, Address, Begin and Done take no lock.
type Tracker struct {
	config    Config
	snapshots Snapshots
	events    event.Recorder
	now       func() time.Time

	announced atomic.Pointer[announced]
	stopping  atomic.Bool
	inFlight  atomic.Int64

	// mu orders changes of the announced state and guards the fields below.
	mu        sync.Mutex
	listener  func(member.Server)
	published member.Server
	overdue   map[string]bool
	begun     map[string]bool
	drained   map[string]bool
}

// announced is the last accepted announcement.
type announced struct {
	server  member.Server
	address string
	heard   time.Time
}

// NewTracker returns a tracker that knows no server yet.
func NewTracker(config Config, snapshots Snapshots, events event.Recorder, now func() time.Time) (*Tracker, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	tracker := &Tracker{
		config:    config,
		snapshots: snapshots,
		events:    events,
		now:       now,
		overdue:   make(map[string]bool),
		begun:     make(map[string]bool),
	}
	tracker.announced.Store(&announced{})
	return tracker, nil
}

// OnChange sets the function that is told each change of the effective state.
// Calls to it are ordered; it must not call the tracker back.
func (t *Tracker) OnChange(listener func(member.Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
}

// Announce accepts an announcement of the server.
func (t *Tracker) Announce(announcement Announcement) error {
	if err := announcement.Validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	next := &announced{
		server: member.Server{
			Service:     announcement.Service,
			State:       announcedStates[announcement.State],
			Slots:       announcement.Slots,
			Connections: announcement.Connections,
			Since:       now,
		},
		address: announcement.Address,
		heard:   now,
	}
	last := t.announced.Load()
	if last.server.State == next.server.State && last.address == next.address {
		next.server.Since = last.server.Since
	}
	t.announced.Store(next)
	t.publish()
	return nil
}

// MarkAbsent records that the server at the address refused a connection.
func (t *Tracker) MarkAbsent(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.announced.Load()
	if last.address != address || last.server.State == member.ServerNone {
		return
	}
	t.forget("refused a connection")
}

// MarkLeaving makes the effective state leaving for good; the daemon calls it when
// it is told to exit.
func (t *Tracker) MarkLeaving() {
	t.stopping.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

// Effective returns the server with its effective state: leaving once a planned
// stop that covers it has begun by the node's clock.
func (t *Tracker) Effective() member.Server {
	server := t.announced.Load().server
	if server.State == member.ServerNone || server.State == member.ServerLeaving {
		return server
	}
	if t.stopping.Load() || t.stopBegun(server.Service) {
		server.State = member.ServerLeaving
	}
	return server
}

// Address returns the IP and port of the server; empty when there is none.
func (t *Tracker) Address() string { return t.announced.Load().address }

// Connections returns the number of connections that the server allows.
func (t *Tracker) Connections() int { return t.announced.Load().server.Connections }

// Begin counts a call that is handed to the server; Done must follow.
func (t *Tracker) Begin() { t.inFlight.Add(1) }

// Done counts the end of a call.
func (t *Tracker) Done() { t.inFlight.Add(-1) }

// InFlight returns the number of calls that the server is running.
func (t *Tracker) InFlight() int64 { return t.inFlight.Load() }

// Run checks silence and planned stops until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(t.config.CheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.Check()
		}
	}
}

// Check applies silence and planned stops at the present time.
func (t *Tracker) Check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.announced.Load()
	if last.server.State != member.ServerNone && t.now().Sub(last.heard) > t.config.AnnouncementTimeout {
		t.forget(fmt.Sprintf("sent no announcement for %s", t.config.AnnouncementTimeout))
	}
	t.noteStops()
	t.publish()
}

// Status describes the server and the planned stops that have begun for it.
func (t *Tracker) Status() Status {
	now := t.now()
	status := Status{Server: t.Effective(), Address: t.Address(), InFlight: t.InFlight()}
	for _, stop := range t.begunStops(status.Server.Service) {
		status.Stops = append(status.Stops, StopStatus{ID: stop.ID, At: stop.At, Overdue: t.isOverdue(stop, now)})
	}
	return status
}

// forget drops the announced server. The caller holds mu.
func (t *Tracker) forget(reason string) {
	last := t.announced.Load()
	t.announced.Store(&announced{})
	t.record(event.KindServer, t.config.Host, fmt.Sprintf("backend server %s of service %s %s; it is gone", last.address, last.server.Service, reason))
	t.publish()
}

// publish tells the listener when the effective state changed. The caller holds
// mu.
func (t *Tracker) publish() {
	server := t.Effective()
	if server == t.published {
		return
	}
	if server.State != t.published.State {
		t.record(event.KindServer, t.config.Host, fmt.Sprintf("backend server of service %s is %s, it was %s", server.Service, stateName(server.State), stateName(t.published.State)))
		if server.State == member.ServerLeaving {
			server.Since = t.now()
		}
	} else if server.State == member.ServerLeaving {
		server.Since = t.published.Since
	}
	if server == t.published {
		return
	}
	t.published = server
	if t.listener != nil {
		t.listener(server)
	}
}

// noteStops records once when a stop begins, when it becomes overdue and when no
// call is left. The caller holds mu.
func (t *Tracker) noteStops() {
	now := t.now()
	begun := make(map[string]bool)
	overdue := make(map[string]bool)
	drained := make(map[string]bool)
	for _, stop := range t.begunStops(t.announced.Load().server.Service) {
		begun[stop.ID] = true
		if !t.begun[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s has begun on host %s with %d calls in flight", stop.ID, t.config.Host, t.InFlight()))
		}
		if overdue[stop.ID] = t.isOverdue(stop, now); overdue[stop.ID] && !t.overdue[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s is overdue on host %s: %d calls are still running", stop.ID, t.config.Host, t.InFlight()))
		}
		// A call that was admitted before the stop may still begin, so the check
		// that finds the stop begun never reports it as drained.
		drained[stop.ID] = t.drained[stop.ID] || t.begun[stop.ID] && t.InFlight() == 0
		if drained[stop.ID] && !t.drained[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s is drained on host %s: no call is left", stop.ID, t.config.Host))
		}
	}
	t.begun, t.overdue, t.drained = begun, overdue, drained
}

func (t *Tracker) isOverdue(stop config.Stop, now time.Time) bool {
	return now.After(stop.At.Add(stop.Grace)) && t.InFlight() > 0
}

func (t *Tracker) stopBegun(service string) bool {
	return len(t.begunStops(service)) > 0
}

// begunStops returns the stops that cover the service on this host and have
// begun. The usual result is nil, without an allocation.
func (t *Tracker) begunStops(service string) []config.Stop {
	snapshot := t.snapshots.Load()
	if snapshot == nil || len(snapshot.Stops()) == 0 {
		return nil
	}
	now := t.now()
	var begun []config.Stop
	for _, stop := range snapshot.Stops() {
		if stop.Started(now) && stop.Covers(t.config.Host, t.config.FailureDomain, service) {
			begun = append(begun, stop)
		}
	}
	return begun
}

func (t *Tracker) record(kind event.Kind, subject, message string) {
	t.events.Record(event.Event{At: t.now(), Kind: kind, Subject: subject, Message: message})
}

func stateName(state member.ServerState) string {
	for name, announced := range announcedStates {
		if announced == state {
			return name
		}
	}
	return "none"
}
