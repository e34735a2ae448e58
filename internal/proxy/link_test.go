package proxy

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestLinkKeepsRoomForSmallAnswers guards against large answers that queue on a thin
// link until the small ones behind them are too late.
func TestLinkKeepsRoomForSmallAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLink(8)
	l.sized("large", 100_000)
	l.sized("small", 500)
	first, ok := l.admit("large")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = l.admit("large")
	g.Expect(ok).To(gomega.BeFalse(), "100 ms are on the way")
	_, ok = l.admit("small")
	g.Expect(ok).To(gomega.BeTrue())
	first()
	_, ok = l.admit("large")
	g.Expect(ok).To(gomega.BeTrue())
}

// TestAnswersToCallersCount guards against large answers for other nodes beside
// those to the callers of the host, which leave over the same link.
func TestAnswersToCallersCount(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLink(8)
	l.sized("large", 100_000)
	release := l.carry(100_000)
	_, ok := l.admit("large")
	g.Expect(ok).To(gomega.BeFalse())
	release()
	_, ok = l.admit("large")
	g.Expect(ok).To(gomega.BeTrue())
}
