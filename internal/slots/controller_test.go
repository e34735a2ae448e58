package slots

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestUnmeetableDeadlineIsRefusedEarly guards against holding a request until its
// deadline although it can't be served before it.
func TestUnmeetableDeadlineIsRefusedEarly(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewController(time.Now)
	c.Open(1)
	first, err := c.Acquire(context.Background(), Request{Route: "r", Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(100 * time.Millisecond)
	first(true)
	release, err := c.Acquire(context.Background(), Request{Route: "r", Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer release(true)
	started := time.Now()
	deadline := started.Add(3 * time.Second)
	_, err = c.Acquire(context.Background(), Request{Route: "r", Deadline: started.Add(110 * time.Millisecond), MaxWait: time.Minute})
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.DeadlineNotRun))
	g.Expect(time.Now()).To(gomega.BeTemporally("<", deadline))
}
