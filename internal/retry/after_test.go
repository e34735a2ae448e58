package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestAfterLeavesTimeForTheObjective guards against sending callers away for so long
// that the request can only be late when it comes back, and against calling those back
// soon whose refusal doesn't pass with the next free slot.
func TestAfterLeavesTimeForTheObjective(t *testing.T) {
	after := After{OnTime: 50 * time.Millisecond, Default: 250 * time.Millisecond}
	for _, c := range []struct {
		code result.Code
		left time.Duration
		want time.Duration
	}{
		{result.Overloaded, 160 * time.Millisecond, 50 * time.Millisecond},
		{result.Overloaded, 50 * time.Millisecond, 50 * time.Millisecond},
		{result.Overloaded, 49 * time.Millisecond, 250 * time.Millisecond},
		{result.Overloaded, -time.Second, 250 * time.Millisecond},
		{result.NoServer, 160 * time.Millisecond, 250 * time.Millisecond},
		{result.NodeNotReady, 160 * time.Millisecond, 250 * time.Millisecond},
	} {
		g := gomega.NewWithT(t)
		g.Expect(after.For(c.code, c.left)).To(gomega.Equal(c.want), "code %d with %s left", c.code, c.left)
	}
}
