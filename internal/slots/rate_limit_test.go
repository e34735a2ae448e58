package slots

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// limitWindow is the time over which the requests at a server are counted.
const limitWindow = 4 * time.Second

// patient returns a request that may wait for long.
func patient() Request { return request(1, time.Hour) }

// TestStartsStayWithinTheLimit guards, for any arrivals, hold times and changes of the
// limit, against a server that gets more requests than the highest limit in force allows
// in any 4 s, and against starts that wait although the limit allows them.
func TestStartsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		q.open(start, rapid.IntRange(1, 12).Draw(t, "slots"))
		limit := rapid.Float64Range(0, 40).Draw(t, "limit")
		q.setLimit(start, limit)
		highest := limit
		now := start
		var tickets []*ticket
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				limit = rapid.Float64Range(0, 40).Draw(t, "limit")
				q.setLimit(now, limit)
				highest = max(highest, limit)
			case 1, 2, 3:
				for _, started := range tickets {
					if started.state == running {
						q.finish(now, started, true)
						break
					}
				}
			default:
				if submitted, err := q.submit(now, patient()); err == nil {
					tickets = append(tickets, submitted)
				}
			}
			q.dispatch(now)
			if wait, ok := q.nextStart(now); ok && wait <= 0 {
				t.Fatalf("a request waits although a slot and the limit allow its start")
			}
		}
		var starts []time.Time
		for _, started := range tickets {
			if started.state != waiting {
				starts = append(starts, started.started)
			}
		}
		rate := max(highest, minRate)
		allowed := rate*limitWindow.Seconds() + max(1, rate*burstTime.Seconds()) + 1
		for _, from := range starts {
			count := 0
			for _, at := range starts {
				if !at.Before(from) && at.Sub(from) < limitWindow {
					count++
				}
			}
			if float64(count) > allowed {
				t.Fatalf("%d starts within %s, at most %.1f a second allow %.1f", count, limitWindow, rate, allowed)
			}
		}
	})
}

// TestFallingLimitRefusesWaitingRequests guards against requests that are held until
// their deadline although the limit has fallen too low to serve them.
func TestFallingLimitRefusesWaitingRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 9)
	q.setLimit(start, 10)
	_, err := q.submit(start, patient())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var queued []*ticket
	for range 4 {
		hurried := patient()
		hurried.MaxWait = time.Second
		submitted, err := q.submit(start, hurried)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		queued = append(queued, submitted)
	}
	q.setLimit(start.Add(50*time.Millisecond), 1)
	g.Expect(queued[0].state).To(gomega.Equal(waiting), "half a token has come: it starts within 0.5 s")
	for _, refused := range queued[1:] {
		g.Expect(result.CodeOf(refused.refusal)).To(gomega.Equal(result.Overloaded))
	}
}

// TestEndedLimitStartsWaitingRequests guards against requests that go on waiting for the
// rate after the server has named no limit any more.
func TestEndedLimitStartsWaitingRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 9)
	q.setLimit(start, 0)
	var tickets []*ticket
	for range 5 {
		submitted, err := q.submit(start, patient())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		tickets = append(tickets, submitted)
	}
	g.Expect(q.running).To(gomega.Equal(1), "the request that shows whether the limit still holds")
	g.Expect(q.setLimit(start.Add(time.Millisecond), NoLimit)).To(gomega.BeTrue())
	for _, submitted := range tickets {
		g.Expect(submitted.state).To(gomega.Equal(running))
	}
}

// TestRequestBeyondTheLimitIsRefusedAtOnce guards against a request that waits for a
// server whose limit leaves no room for it in time, while others have room.
func TestRequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue()
	q.open(start, 9)
	q.setLimit(start, 0.4)
	_, err := q.submit(start, patient())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	hurried := patient()
	hurried.MaxWait = 500 * time.Millisecond
	_, err = q.submit(start, hurried)
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.Overloaded))
}

// TestLimitedRequestStartsWithoutAnotherEvent guards against a request that waits for the
// limit and never starts, because no other request arrives or ends.
func TestLimitedRequestStartsWithoutAnotherEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewController(time.Now)
	c.Open(4)
	g.Expect(c.SetLimit(10)).To(gomega.BeTrue())
	g.Expect(c.SetLimit(12)).To(gomega.BeFalse(), "limited before and after")
	for range 3 {
		release, err := c.Acquire(context.Background(), Request{Route: "r", Deadline: time.Now().Add(time.Minute), MaxWait: time.Minute})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer release(true)
	}
	g.Expect(c.Load().Running).To(gomega.Equal(3))
	g.Expect(c.Load().Limit).To(gomega.Equal(12.0))
	g.Expect(c.SetLimit(NoLimit)).To(gomega.BeTrue())
}
