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

// thin is a link that carries 1 MB a second with its whole rate.
func thin() Config {
	config := DefaultConfig()
	config.Mbps, config.RateShare = 8, 1
	return config
}

// TestQueueKeepsTheRate guards against large answers that together exceed the rate
// of the link, and against small ones that wait behind them.
func TestQueueKeepsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(thin())
		now, sent := start, 0.0
		busy := start
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			size := rapid.Int64Range(1, 300_000).Draw(t, "bytes")
			begins := q.schedule(now, size)
			if !q.isLarge(float64(size)) {
				if !begins.Equal(now) {
					t.Fatalf("a small answer of %d bytes waits %s", size, begins.Sub(now))
				}
			} else if begins.Before(busy) {
				t.Fatalf("an answer begins %s before the one ahead of it has left", busy.Sub(begins))
			}
			sent += float64(size)
			busy = q.free
			if left := q.free.Sub(start).Seconds() * q.rate; left < sent-1 {
				t.Fatalf("%.0f bytes would have left in the time of %.0f", sent, left)
			}
		}
	})
}

// TestAdmitKeepsTheWait guards against answers that are promised although those
// ahead make them too late, and against promises that are never freed.
func TestAdmitKeepsTheWait(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(thin())
	q.sized("large", 100_000)
	q.sized("small", 500)
	promised, ok := q.admit(start, "large", 0)
	g.Expect(ok).To(gomega.BeTrue(), "an idle link admits any answer")
	_, ok = q.admit(start, "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeFalse(), "100 ms are promised and the answer takes 100 ms")
	second, ok := q.admit(start, "large", 250*time.Millisecond)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = q.admit(start, "small", 0)
	g.Expect(ok).To(gomega.BeTrue(), "small answers pass")
	q.settle(promised)
	q.settle(second)
	g.Expect(q.backlog(start)).To(gomega.BeZero())
	q.schedule(start, 100_000)
	_, ok = q.admit(start, "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeFalse(), "an answer is on its way, also one to a caller of the host")
	_, ok = q.admit(start.Add(100*time.Millisecond), "large", 150*time.Millisecond)
	g.Expect(ok).To(gomega.BeTrue(), "the answer has left")
}

// TestWithdrawnAnswerFreesTheLink guards against an answer that was broken off and
// delays those after it by the bytes that it never sent.
func TestWithdrawnAnswerFreesTheLink(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(thin())
	q.schedule(start, 300_000)
	q.withdraw(start, 200_000)
	g.Expect(q.backlog(start)).To(gomega.BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	q.withdraw(start, 500_000)
	g.Expect(q.backlog(start)).To(gomega.BeZero())
}

// TestUnknownRateDelaysNothing guards against a host without a stated rate whose
// answers wait.
func TestUnknownRateDelaysNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueue(DefaultConfig())
	q.sized("large", 1<<30)
	for range 3 {
		_, ok := q.admit(start, "large", 0)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(q.schedule(start, 1<<30)).To(gomega.Equal(start))
	}
}

// TestSendStopsWithItsContext guards against an answer that is sent on after its
// reader has gone, and against a body that changes on the way.
func TestSendStopsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := New(thin(), time.Now)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body := bytes.Repeat([]byte("0123456789"), 4000)
	var whole bytes.Buffer
	g.Expect(l.Send(t.Context(), &whole, bytes.NewReader(body), int64(len(body)))).To(gomega.Succeed())
	g.Expect(whole.Bytes()).To(gomega.Equal(body))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var cut bytes.Buffer
	g.Expect(l.Send(ctx, &cut, bytes.NewReader(body), int64(len(body)))).To(gomega.MatchError(context.Canceled))
	g.Expect(l.Backlog()).To(gomega.BeNumerically("<", 20*time.Millisecond))
}
