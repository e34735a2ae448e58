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

// queueModel applies random operations to a Queue and checks its invariants
// after each.
type queueModel struct {
	queue     *Queue
	now       time.Time
	slots     int
	tickets   []*Ticket
	decisions map[*Ticket]int
	waiters   int
	started   uint64
	// downloads is the number of running downloads at the last check.
	downloads int
	// interactiveAt is when the last lookup or order was offered.
	interactiveAt time.Time
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
				m.decisions[ticket]++
			}
			if ticket.state != ticketDone {
				t.Fatal("an abandoned call is still running or queued")
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
		OnDecision: func(error) { m.decisions[ticket]++ },
	}
	if request.Priority != config.PriorityDownload {
		m.interactiveAt = m.now
	}
	ticket, err := m.queue.Offer(m.now, request)
	if err != nil {
		return
	}
	if !ticket.Running() {
		m.waiters++
	}
	m.tickets = append(m.tickets, ticket)
}

func (m *queueModel) draw(t *rapid.T, state ticketState) *Ticket {
	matching := slices.DeleteFunc(slices.Clone(m.tickets), func(ticket *Ticket) bool { return ticket.state != state })
	if len(matching) == 0 {
		return nil
	}
	return rapid.SampledFrom(matching).Draw(t, "ticket")
}

func (m *queueModel) check(t *rapid.T) {
	running, limit := m.queue.Running(), m.queue.Slots(m.now)
	runningTickets, waitingTickets := 0, 0
	for _, ticket := range m.tickets {
		switch ticket.state {
		case ticketWaiting:
			waitingTickets++
		case ticketRunning:
			runningTickets++
		}
	}
	if runningTickets != running || waitingTickets != m.queue.Waiting() {
		t.Fatalf("queue reports %d running and %d waiting calls, the tickets show %d and %d", running, m.queue.Waiting(), runningTickets, waitingTickets)
	}
	if started := m.queue.Counts().Started; started != m.started {
		m.started = started
		if running > limit || running > m.slots {
			t.Fatalf("%d calls running after a start, with a limit of %d and %d slots", running, limit, m.slots)
		}
	}
	if waitingTickets > queuePerSlot*9 {
		t.Fatalf("%d calls are queued, want at most %d", waitingTickets, queuePerSlot*9)
	}
	if running < limit && len(m.queue.waiting[interactive]) > 0 {
		t.Fatalf("lookups or orders are queued although only %d of %d slots are used", running, limit)
	}
	m.checkShare(t, limit)
}

// checkShare checks that downloads start beyond half of the slots only when no
// lookup or order was offered during the last interactiveIdlePeriod.
func (m *queueModel) checkShare(t *rapid.T, limit int) {
	downloads := m.queue.running[download]
	grew := downloads > m.downloads
	m.downloads = downloads
	if grew && downloads > max(1, limit/2) && m.now.Sub(m.interactiveAt) < interactiveIdlePeriod {
		t.Fatalf("%d downloads running beside lookups or orders with a limit of %d, which exceeds their share", downloads, limit)
	}
}

// TestQueueProperties guards against more running calls than slots, a queued
// call that is never decided or decided twice, and a slot leaked by an
// abandoned call, a refusal, a resize or a drain.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{queue: NewQueue(), now: time.Unix(1e9, 0), slots: 6, decisions: map[*Ticket]int{}}
		m.queue.Open(m.now, Capacity{Slots: 6, Connections: 130, ReadySince: m.now})
		m.interactiveAt = m.now
		t.Repeat(m.actions())
		m.finishAll(t)
	})
}

// finishAll finishes all calls and checks that none is left.
func (m *queueModel) finishAll(t *rapid.T) {
	if rapid.Bool().Draw(t, "drain") {
		m.queue.Drain()
		if _, err := m.queue.Offer(m.now, Request{}); result.CodeOf(err) != result.Draining {
			t.Fatalf("Offer on a draining queue returned %v, want code Draining", err)
		}
		if m.queue.Waiting() > 0 {
			t.Fatalf("%d calls are queued although the server is draining", m.queue.Waiting())
		}
	}
	for m.queue.Running() > 0 {
		index := slices.IndexFunc(m.tickets, (*Ticket).Running)
		m.now = m.now.Add(time.Millisecond)
		m.queue.Finish(m.now, m.tickets[index])
	}
	decided := 0
	for ticket, count := range m.decisions {
		decided += count
		if count != 1 {
			t.Fatalf("a %s was decided %d times, want 1", ticket.request.Priority, count)
		}
	}
	if m.queue.Waiting() != 0 || decided != m.waiters {
		t.Fatalf("%d of %d queued calls were decided, %d are still queued", decided, m.waiters, m.queue.Waiting())
	}
}

// TestRefusals guards against queueing a call that cannot start before its
// deadline, and against downloads that keep an order out of a full queue.
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
			t.Errorf("call %d (%s within %s): code %s, want %s", i, c.priority, c.deadline, result.Describe(got).Name, result.Describe(c.want).Name)
		}
	}
	if displaced != 2 {
		t.Errorf("orders displaced %d downloads from the queue, want 2", displaced)
	}
}
