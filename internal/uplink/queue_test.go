package uplink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 5, 17, 0, 0, 0, 0, time.UTC)

// slowLink describes a link that carries 1 MB per second at its full rate.
func slowLink() Config {
	config := DefaultConfig()
	config.Mbps, config.RateShare = 8, 1
	return config
}

// TestQueueKeepsTheRate guards against large responses that together exceed the
// rate of the link, and against small ones that wait behind them.
func TestQueueKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(slowLink())
		now, sent := start, 0.0
		busy := start
		for range rapid.IntRange(1, 40).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			size := rapid.Int64Range(1, 300_000).Draw(t, "bytes")
			begin := q.schedule(now, size)
			if !q.isLarge(float64(size)) {
				if !begin.Equal(now) {
					t.Fatalf("a small response of %d bytes waits %s", size, begin.Sub(now))
				}
			} else if begin.Before(busy) {
				t.Fatalf("a response begins %s before the one ahead of it has left", busy.Sub(begin))
			}
			sent += float64(size)
			busy = q.freeAt
			if capacity := q.freeAt.Sub(start).Seconds() * q.rate; capacity < sent-1 {
				t.Fatalf("%.0f bytes were scheduled in the transmission time of %.0f", sent, capacity)
			}
		}
	})
}

// TestReserveBoundsTheWait guards against responses that are admitted although
// those ahead make them late, and against reservations that are never released.
func TestReserveBoundsTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(slowLink())
	q.observeSize("large", 100_000)
	q.observeSize("small", 500)
	reserved, ok := q.reserve(start, "large", 0)
	g.Expect(ok).To(gomega.BeTrue(), "an idle link admits any response")
	_, ok = q.reserve(start, "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeFalse(), "100 ms are reserved and the response takes 100 ms")
	second, ok := q.reserve(start, "large", 250*time.Millisecond)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = q.reserve(start, "small", 0)
	g.Expect(ok).To(gomega.BeTrue(), "small responses pass")
	q.release(reserved)
	q.release(second)
	g.Expect(q.backlog(start)).To(gomega.BeZero())
	q.schedule(start, 100_000)
	_, ok = q.reserve(start, "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeFalse(), "a response is in transit, also one to a caller of the host")
	_, ok = q.reserve(start.Add(100*time.Millisecond), "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeTrue(), "the response has left")
}

// TestUnscheduledBytesFreeTheLink guards against an aborted response that delays
// those after it by the bytes that it never sent.
func TestUnscheduledBytesFreeTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(slowLink())
	q.schedule(start, 300_000)
	q.unschedule(start, 200_000)
	g.Expect(q.backlog(start)).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	q.unschedule(start, 500_000)
	g.Expect(q.backlog(start)).To(gomega.BeZero())
}

// TestUnknownRateDelaysNothing guards against delayed responses on a host without
// a configured rate.
func TestUnknownRateDelaysNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(DefaultConfig())
	q.observeSize("large", 1<<30)
	for range 3 {
		_, ok := q.reserve(start, "large", 0)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(q.schedule(start, 1<<30)).To(gomega.Equal(start))
	}
}

// TestSendStopsWithItsContext guards against a response that is still sent after
// its context has ended, and against a body that is altered in transit.
func TestSendStopsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := New(slowLink(), time.Now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body := bytes.Repeat([]byte("0123456789"), 4000)
	var complete bytes.Buffer
	g.Expect(l.Send(t.Context(), &complete, bytes.NewReader(body), int64(len(body)))).To(gomega.Succeed())
	g.Expect(complete.Bytes()).To(gomega.Equal(body))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var partial bytes.Buffer
	g.Expect(l.Send(ctx, &partial, bytes.NewReader(body), int64(len(body)))).To(gomega.MatchError(context.Canceled))
	g.Expect(l.Backlog()).To(gomega.BeNumerically("<", 20*time.Millisecond))
}
