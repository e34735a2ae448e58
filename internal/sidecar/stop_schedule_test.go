package sidecar

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestStopStepsFitTheGrace guards against a shutdown that takes requests so late that they
// are aborted, or that lasts until the process is killed.
func TestStopStepsFitTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		grace := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		s := newStopSchedule(grace)
		steps := []time.Duration{0, s.drainNotice, s.inboundClose, s.refusal, s.callersClose, s.end, s.entryDelete, grace}
		for i := range steps[1:] {
			g.Expect(steps[i+1]).To(gomega.BeNumerically(">", steps[i]), "step %d of %v", i+1, steps)
		}
		g.Expect(s.refusal).To(gomega.BeNumerically("<=", grace/2))
	})
	g := gomega.NewWithT(t)
	g.Expect(newStopSchedule(6 * time.Second)).To(gomega.Equal(stopSchedule{
		drainNotice: drainNoticeDelay, inboundClose: inboundCloseDelay, refusal: refusalDelay,
		callersClose: 5100 * time.Millisecond, end: 5400 * time.Millisecond, entryDelete: 5600 * time.Millisecond,
	}))
}
