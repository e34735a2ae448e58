package limitsync

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// TestOneLateVerdictChangesNoTarget guards against a fleet that reports to two nodes at
// once, which together give out more than a limit, after a verdict that was only late; and
// against a node that is asked again and again although it does not respond.
func TestOneLateVerdictChangesNoTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &Exchanger{cooldownUntil: make(map[string]time.Duration), timeouts: make(map[string]int)}
	late := errors.Wrap(context.DeadlineExceeded, "report")
	e.recordFailure(0, "a", late)
	g.Expect(e.cooldownUntil).To(gomega.BeEmpty())
	e.recordFailure(0, "a", late)
	g.Expect(e.cooldownUntil).To(gomega.HaveKeyWithValue("a", cooldown))
	e.recordFailure(time.Minute, "a", late)
	g.Expect(e.cooldownUntil).To(gomega.HaveKeyWithValue("a", time.Minute+cooldown), "asked twice after its cooldown")
	e.recordFailure(0, "b", errors.Wrap(syscall.ECONNREFUSED, "report"))
	g.Expect(e.cooldownUntil).To(gomega.HaveKeyWithValue("b", cooldown))
}
