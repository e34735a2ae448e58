// Package drain tracks the local backend server: what it announced, whether a
// planned stop covers it and how many calls it is running.
//
// It owns the state of that server. A server that stops announcing itself or refuses
// a connection is absent until it announces itself again. A planned stop only keeps
// new calls away; calls in flight are never aborted.
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

// Snapshots provides the configuration in force; nil before the first one.
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
	leaving   atomic.Bool
	inFlight  atomic.Int64

	// mu serializes changes of the announced state and guards the fields below.
	mu        sync.Mutex
	listener  func(member.Server)
	published member.Server
	// overdue, started and drained hold the state of the started stops at the last
	// check, by stop id.
	overdue map[string]bool
	started map[string]bool
	drained map[string]bool
}

// announced is the last accepted announcement.
type announced struct {
	server     member.Server
	address    string
	receivedAt time.Time
}

// NewTracker returns a tracker without a server.
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
		started:   make(map[string]bool),
	}
	tracker.announced.Store(&announced{})
	return tracker, nil
}

// OnChange sets the function that is called on each change of the effective state.
// Calls to it are ordered; it must not call the tracker.
func (t *Tracker) OnChange(listener func(member.Server)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
}

// Announce applies an announcement of the server. It returns the error of
// Announcement.Validate for an invalid one.
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
		address:    announcement.Address,
		receivedAt: now,
	}
	last := t.announced.Load()
	if last.server.State == next.server.State && last.address == next.address {
		next.server.Since = last.server.Since
	}
	t.announced.Store(next)
	t.publish()
	return nil
}

// MarkAbsent records that the server at the address refused a connection and is
// therefore absent. It ignores the address of another server.
func (t *Tracker) MarkAbsent(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.announced.Load()
	if last.address != address || last.server.State == member.ServerNone {
		return
	}
	t.clearAnnouncement("refused a connection")
}

// MarkLeaving makes the effective state leaving permanently; the daemon calls it
// when it shuts down.
func (t *Tracker) MarkLeaving() {
	t.leaving.Store(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.publish()
}

// Effective returns the server with its effective state, which is leaving once a
// planned stop that covers it has started by the node's clock.
func (t *Tracker) Effective() member.Server {
	server := t.announced.Load().server
	if server.State == member.ServerNone || server.State == member.ServerLeaving {
		return server
	}
	if t.leaving.Load() || t.stopStarted(server.Service) {
		server.State = member.ServerLeaving
	}
	return server
}

// Address returns the IP address and port of the server; empty when there is none.
func (t *Tracker) Address() string { return t.announced.Load().address }

// Connections returns the number of connections that the server allows.
func (t *Tracker) Connections() int { return t.announced.Load().server.Connections }

// Begin counts a call that is forwarded to the server; Done must follow.
func (t *Tracker) Begin() { t.inFlight.Add(1) }

// Done counts the end of a call.
func (t *Tracker) Done() { t.inFlight.Add(-1) }

// InFlight returns the number of calls that the server is running.
func (t *Tracker) InFlight() int64 { return t.inFlight.Load() }

// Run calls Check periodically until the context ends.
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

// Check applies the announcement timeout and the planned stops at the current time.
func (t *Tracker) Check() {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.announced.Load()
	if last.server.State != member.ServerNone && t.now().Sub(last.receivedAt) > t.config.AnnouncementTimeout {
		t.clearAnnouncement(fmt.Sprintf("sent no announcement for %s", t.config.AnnouncementTimeout))
	}
	t.recordStops()
	t.publish()
}

// Status describes the server and the started planned stops that cover it.
func (t *Tracker) Status() Status {
	now := t.now()
	status := Status{Server: t.Effective(), Address: t.Address(), InFlight: t.InFlight()}
	for _, stop := range t.startedStops(status.Server.Service) {
		status.Stops = append(status.Stops, StopStatus{ID: stop.ID, At: stop.At, Overdue: t.isOverdue(stop, now)})
	}
	return status
}

// clearAnnouncement makes the server absent and records the reason. The caller holds
// mu.
func (t *Tracker) clearAnnouncement(reason string) {
	last := t.announced.Load()
	t.announced.Store(&announced{})
	t.record(event.KindServer, t.config.Host, fmt.Sprintf("backend server %s of service %s %s; it is now absent", last.address, last.server.Service, reason))
	t.publish()
}

// publish notifies the listener if the effective state changed. The caller holds mu.
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

// recordStops records an event when a stop starts, when it becomes overdue and when
// no call is left, each once. The caller holds mu.
func (t *Tracker) recordStops() {
	now := t.now()
	started := make(map[string]bool)
	overdue := make(map[string]bool)
	drained := make(map[string]bool)
	for _, stop := range t.startedStops(t.announced.Load().server.Service) {
		started[stop.ID] = true
		if !t.started[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s has begun on host %s with %d calls in flight", stop.ID, t.config.Host, t.InFlight()))
		}
		if overdue[stop.ID] = t.isOverdue(stop, now); overdue[stop.ID] && !t.overdue[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s is overdue on host %s: %d calls are still running", stop.ID, t.config.Host, t.InFlight()))
		}
		// A call that was admitted before the stop may not be counted yet, so the
		// check that first sees the stop started never reports it as drained.
		drained[stop.ID] = t.drained[stop.ID] || t.started[stop.ID] && t.InFlight() == 0
		if drained[stop.ID] && !t.drained[stop.ID] {
			t.record(event.KindStop, stop.ID, fmt.Sprintf("stop %s is drained on host %s: no call is left", stop.ID, t.config.Host))
		}
	}
	t.started, t.overdue, t.drained = started, overdue, drained
}

func (t *Tracker) isOverdue(stop config.Stop, now time.Time) bool {
	return now.After(stop.At.Add(stop.Grace)) && t.InFlight() > 0
}

func (t *Tracker) stopStarted(service string) bool {
	return len(t.startedStops(service)) > 0
}

// startedStops returns the started stops that cover the service on this host. The
// usual result is nil, without an allocation.
func (t *Tracker) startedStops(service string) []config.Stop {
	snapshot := t.snapshots.Load()
	if snapshot == nil || len(snapshot.Stops()) == 0 {
		return nil
	}
	now := t.now()
	var started []config.Stop
	for _, stop := range snapshot.Stops() {
		if stop.Started(now) && stop.Covers(t.config.Host, t.config.FailureDomain, service) {
			started = append(started, stop)
		}
	}
	return started
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
