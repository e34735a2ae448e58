package slots

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

var start = time.Unix(1000, 0)

func request(priority int, due time.Duration) Request {
	return Request{Route: "r", Priority: priority, Due: start.Add(due), Deadline: start.Add(due + time.Second), MaxWait: time.Hour}
}

// TestOrder guards against running a request before one of the same priority that is
// due earlier, and against ignoring the priority.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 1)
	running, err := q.submit(start, request(1, time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	long, _ := q.submit(start, request(1, 500*time.Millisecond))
	low, _ := q.submit(start, request(2, 100*time.Millisecond))
	short, _ := q.submit(start, request(1, 120*time.Millisecond))
	var order []*ticket
	current := running
	for range 3 {
		q.finish(start, current, true)
		for _, t := range []*ticket{long, low, short} {
			if t.state == 1 && t != current {
				order, current = append(order, t), t
			}
		}
	}
	g.Expect(order).To(gomega.Equal([]*ticket{short, long, low}))
}

// TestLateRequestsAreDemoted guards against a queue in which every request misses its
// objective because it waits behind one that has missed it already.
func TestLateRequestsAreDemoted(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 1)
	running, _ := q.submit(start, request(1, time.Second))
	urgent := request(1, 100*time.Millisecond)
	urgent.Deadline = start.Add(time.Minute)
	late, _ := q.submit(start, urgent)
	onTime, _ := q.submit(start, request(1, 600*time.Millisecond))
	q.finish(start.Add(200*time.Millisecond), running, true)
	g.Expect(onTime.state).To(gomega.Equal(ticketState(1)))
	g.Expect(late.state).To(gomega.Equal(ticketState(0)))
}

// TestWaitPredictionCountsSlots guards against refusing an urgent request because all
// slots run long requests, although one of them is expected to end soon.
func TestWaitPredictionCountsSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 6)
	for range 20 {
		ticket, _ := q.submit(start, request(1, time.Second))
		q.finish(start.Add(250*time.Millisecond), ticket, true)
	}
	for range 6 {
		_, err := q.submit(start, request(1, time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	urgent := request(1, 120*time.Millisecond)
	urgent.MaxWait = 80 * time.Millisecond
	_, err := q.submit(start, urgent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// TestLateRequestWithUnmeetableDeadlineIsRefused guards against holding a late request
// until its deadline behind requests that leave it no time to run.
func TestLateRequestWithUnmeetableDeadlineIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 1)
	first, _ := q.submit(start, request(1, time.Second))
	q.finish(start.Add(200*time.Millisecond), first, true)
	now := start.Add(200 * time.Millisecond)
	running, _ := q.submit(now, request(1, time.Second))
	urgent := request(1, 300*time.Millisecond)
	urgent.Deadline = start.Add(900 * time.Millisecond)
	late, err := q.submit(now, urgent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for range 3 {
		r := request(1, 5*time.Second)
		r.Deadline = start.Add(10 * time.Second)
		_, err := q.submit(now, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	q.finish(start.Add(400*time.Millisecond), running, true)
	g.Expect(late.state).To(gomega.Equal(ticketState(2)))
	g.Expect(result.CodeOf(late.refusal)).To(gomega.Equal(result.DeadlineNotRun))
}

// TestShortRequestsAreServed guards against refusing a short request, or queueing it
// last, although it can be served before its deadline.
func TestShortRequestsAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 1)
	for i := range 20 {
		r, holdTime := request(1, time.Second), 250*time.Millisecond
		if i%2 == 0 {
			r.Route, holdTime = "short", 20*time.Millisecond
		}
		ticket, _ := q.submit(start, r)
		q.finish(start.Add(holdTime), ticket, true)
	}
	running, _ := q.submit(start, request(1, time.Second))
	long, _ := q.submit(start, request(1, time.Second))
	late := Request{Route: "short", Priority: 1, Late: true, Due: start, Deadline: start.Add(400 * time.Millisecond)}
	short, err := q.submit(start, late)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	q.finish(start.Add(100*time.Millisecond), running, true)
	g.Expect([]ticketState{short.state, long.state}).To(gomega.Equal([]ticketState{1, 0}))
}

// TestQueueProperties guards against running more requests than the server has slots,
// leaving a slot free while requests wait, and running a request that was refused.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		now := start
		q.open(now, slots)
		var admitted []*ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				r := request(rapid.IntRange(0, 2).Draw(t, "priority"), now.Sub(start)+time.Duration(rapid.IntRange(0, 500).Draw(t, "due"))*time.Millisecond)
				r.MaxWait = time.Duration(rapid.IntRange(0, 300).Draw(t, "max wait")) * time.Millisecond
				if ticket, err := q.submit(now, r); err == nil {
					admitted = append(admitted, ticket)
				} else if result.RunStateOf(result.CodeOf(err)) != result.NotRun {
					t.Fatalf("refused with %v, want a code that says not run", err)
				}
			case 3, 4:
				finishOne(t, q, now, admitted)
			case 5:
				if len(admitted) > 0 {
					q.abandon(now, rapid.SampledFrom(admitted).Draw(t, "abandoned"))
				}
			}
			checkQueue(t, q, admitted, slots)
		}
		q.close(start, result.Errorf(result.Draining, "leaving"))
		for _, ticket := range admitted {
			if ticket.state == waiting {
				t.Fatal("a request still waits in a closed queue")
			}
		}
	})
}

func finishOne(t *rapid.T, q *queue, now time.Time, admitted []*ticket) {
	for _, ticket := range admitted {
		if ticket.state == running {
			q.finish(now, ticket, rapid.Bool().Draw(t, "complete"))
			return
		}
	}
}

func checkQueue(t *rapid.T, q *queue, admitted []*ticket, slots int) {
	runs, waits := 0, 0
	for _, ticket := range admitted {
		switch ticket.state {
		case running:
			runs++
		case waiting:
			waits++
		}
	}
	if runs != q.running || runs > slots || waits != len(q.waiting) {
		t.Fatalf("%d requests run in %d slots, the queue counts %d; %d wait, the queue holds %d", runs, slots, q.running, waits, len(q.waiting))
	}
	if runs < slots && waits > 0 {
		t.Fatalf("%d requests wait although %d of %d slots are free", waits, slots-runs, slots)
	}
}
