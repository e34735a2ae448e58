package admit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

var priorities = []config.Priority{config.PriorityLookup, config.PriorityOrder, config.PriorityDownload}

// queueModel drives a Queue with random events and checks it after each.
type queueModel struct {
	queue   *Queue
	now     time.Time
	slots   int
	open    []*Ticket
	ended   map[*Ticket]int
	waiters int
	started uint64
	// downloads is the number that ran at the last check.
	downloads int
	// interactive is when the last lookup or order came.
	interactive time.Time
}

func (m *queueModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer": m.offer,
		"finish": func(t *rapid.T) {
			if ticket := m.draw(t, ticketRunning); ticket != nil {
				m.queue.Finish(m.now, ticket)
				m.queue.Finish(m.now, ticket)
			}
		},
		"abandon": func(t *rapid.T) {
			state := rapid.SampledFrom([]ticketState{ticketWaiting, ticketRunning}).Draw(t, "state")
			ticket := m.draw(t, state)
			if ticket == nil {
				return
			}
			m.queue.Abandon(m.now, ticket)
			if state == ticketWaiting {
				m.ended[ticket]++
			}
			if ticket.state != ticketDone {
				t.Fatal("an abandoned call keeps its place")
			}
		},
		"advance": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m.queue.Dispatch(m.now)
		},
		"resize": func(t *rapid.T) {
			m.slots = rapid.IntRange(1, 9).Draw(t, "slots")
			m.queue.Resize(m.now, m.slots, max(1, m.slots+rapid.IntRange(-1, 1).Draw(t, "connections")))
		},
		"refused": func(t *rapid.T) {
			if ticket := m.draw(t, ticketRunning); ticket != nil {
				m.queue.ServerRefused(m.now)
				m.queue.Finish(m.now, ticket)
			}
		},
		"": m.check,
	}
}

func (m *queueModel) offer(t *rapid.T) {
	var ticket *Ticket
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond)
	request := Request{
		Priority:   rapid.SampledFrom(priorities).Draw(t, "priority"),
		Deadline:   deadline,
		Objective:  deadline.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "slack")) * time.Millisecond),
		OnDecision: func(error) { m.ended[ticket]++ },
	}
	if request.Priority != config.PriorityDownload {
		m.interactive = m.now
	}
	ticket, err := m.queue.Offer(m.now, request)
	if err != nil {
		return
	}
	if !ticket.Running() {
		m.waiters++
	}
	m.open = append(m.open, ticket)
}

func (m *queueModel) draw(t *rapid.T, state ticketState) *Ticket {
	matching := slices.DeleteFunc(slices.Clone(m.open), func(ticket *Ticket) bool { return ticket.state != state })
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "ticket")
}

func (m *queueModel) check(t *rapid.T) {
	running, limit := m.queue.Running(), m.queue.Slots(m.now)
	held, waiting := 0, 0
	for _, ticket := range m.open {
		switch ticket.state {
		case ticketWaiting:
			waiting++
		case ticketRunning:
			held++
		}
	}
	if held != running || waiting != m.queue.Waiting() {
		t.Fatalf("queue counts %d running and %d waiting, the calls say %d and %d", running, m.queue.Waiting(), held, waiting)
	}
	if started := m.queue.Counts().Started; started != m.started {
		m.started = started
		if running > limit || running > m.slots {
			t.Fatalf("a call started: %d calls run on %d usable of %d slots", running, limit, m.slots)
		}
	}
	if waiting > queuePerSlot*9 {
		t.Fatalf("%d calls wait", waiting)
	}
	if running < limit && len(m.queue.waiting[interactive]) > 0 {
		t.Fatalf("lookups or orders wait although %d of %d slots run", running, limit)
	}
	m.checkShare(t, limit)
}

// checkShare checks that downloads get more than half of the slots only when
// nothing else was asked for lately.
func (m *queueModel) checkShare(t *rapid.T, limit int) {
	downloads := m.queue.running[download]
	grew := downloads > m.downloads
	m.downloads = downloads
	if grew && downloads > max(1, limit/2) && m.now.Sub(m.interactive) < quietPeriod {
		t.Fatalf("%d downloads run on %d slots beside lookups or orders", downloads, limit)
	}
}

// TestQueueProperties guards against more running calls than slots, a waiter
// that never ends or is decided twice, and a slot lost through cancellation,
// refusal, resizing or drain.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{queue: NewQueue(), now: time.Unix(1e9, 0), slots: 6, ended: map[*Ticket]int{}}
		m.queue.Open(m.now, Capacity{Slots: 6, Connections: 130, ReadySince: m.now})
		m.interactive = m.now
		t.Repeat(m.actions())
		m.finishAll(t)
	})
}

// finishAll drains the queue and checks that nothing is left.
func (m *queueModel) finishAll(t *rapid.T) {
	if rapid.Bool().Draw(t, "drain") {
		m.queue.Drain()
		if _, err := m.queue.Offer(m.now, Request{}); result.CodeOf(err) != result.Draining {
			t.Fatalf("a draining queue answered %v", err)
		}
		if m.queue.Waiting() > 0 {
			t.Fatalf("%d calls wait for a server that leaves", m.queue.Waiting())
		}
	}
	for m.queue.Running() > 0 {
		index := slices.IndexFunc(m.open, (*Ticket).Running)
		m.now = m.now.Add(time.Millisecond)
		m.queue.Finish(m.now, m.open[index])
	}
	decided := 0
	for ticket, times := range m.ended {
		decided += times
		if times != 1 {
			t.Fatalf("a %s was decided %d times", ticket.request.Priority, times)
		}
	}
	if m.queue.Waiting() != 0 || decided != m.waiters {
		t.Fatalf("%d of %d waiters ended, %d still wait", decided, m.waiters, m.queue.Waiting())
	}
}

// TestRefusals guards against a call that waits although it cannot be answered
// in time, and against downloads that keep an order out of a full queue.
func TestRefusals(t *testing.T) {
	now := time.Unix(1e9, 0)
	queue := NewQueue()
	queue.Open(now.Add(-time.Hour), Capacity{Slots: 1, Connections: 130, ReadySince: now.Add(-time.Hour)})
	displaced := 0
	offer := func(priority config.Priority, deadline time.Duration) result.Code {
		_, err := queue.Offer(now, Request{Priority: priority, Deadline: now.Add(deadline), OnDecision: func(err error) {
			if result.CodeOf(err) == result.Overloaded {
				displaced++
			}
		}})
		return result.CodeOf(err)
	}
	first, _ := queue.Offer(now, Request{Priority: config.PriorityOrder})
	now = now.Add(100 * time.Millisecond)
	queue.Finish(now, first)
	for i, c := range []struct {
		priority config.Priority
		deadline time.Duration
		want     result.Code
	}{
		{config.PriorityOrder, time.Second, result.OK},
		{config.PriorityDownload, time.Second, result.OK},
		{config.PriorityDownload, time.Second, result.OK},
		{config.PriorityDownload, time.Second, result.Overloaded},
		{config.PriorityOrder, 99 * time.Millisecond, result.Overloaded},
		{config.PriorityOrder, 150 * time.Millisecond, result.OK},
		{config.PriorityOrder, 150 * time.Millisecond, result.Overloaded},
		{config.PriorityOrder, 250 * time.Millisecond, result.OK},
		{config.PriorityOrder, time.Second, result.OK},
		{config.PriorityOrder, time.Second, result.OK},
		{config.PriorityOrder, time.Second, result.Overloaded},
	} {
		if got := offer(c.priority, c.deadline); got != c.want {
			t.Errorf("call %d (%s within %s): %s", i, c.priority, c.deadline, result.Describe(got).Name)
		}
	}
	if displaced != 2 {
		t.Errorf("%d downloads left the queue for orders, want 2", displaced)
	}
}
