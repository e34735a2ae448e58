package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestAbandonedContentIsCharged guards against content that goes on to crash servers
// because its callers leave before the crash, so that no exchange with it breaks.
func TestAbandonedContentIsCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	var records []*Record
	for i := range 3 {
		r := &Record{}
		at := start.Add(time.Duration(i) * 500 * time.Millisecond)
		r.AddAbandoned(at, "s", poison)
		g.Expect(r.AddCrash(at.Add(attributionWindow), "s")).To(gomega.BeTrue())
		records = append(records, r)
	}
	g.Expect(blocklistOf(t, records...).Contains(poison)).To(gomega.BeTrue())
}

// TestAbandonedContentIsNotChargedForGood guards against the refusal of content whose
// callers left long before a crash, in another run of the server, or that the same run has
// finished for another caller.
func TestAbandonedContentIsNotChargedForGood(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	r.AddAbandoned(start, "s", 1)
	r.AddAbandoned(start.Add(attributionWindow), "other", 2)
	r.AddAbandoned(start.Add(attributionWindow), "s", frequent)
	r.AddFinished(start.Add(attributionWindow), "s", frequent)
	g.Expect(r.AddCrash(start.Add(attributionWindow+time.Millisecond), "s")).To(gomega.BeFalse())
}

// TestAbandonedContentsStayBounded guards against a crowd of callers that leave and fill
// the record of one crash, which would drop the content that has crashed servers before.
func TestAbandonedContentsStayBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	for run := range 3 {
		server := fmt.Sprintf("s%d", run)
		at := start.Add(time.Duration(run) * 3 * time.Second)
		for i := range 10 * maxAbandoned {
			r.AddAbandoned(at, server, Fingerprint(1000*(run+1)+i))
		}
		r.AddBroken(at.Add(time.Millisecond), server, poison)
		g.Expect(r.AddCrash(at.Add(100*time.Millisecond), server)).To(gomega.BeTrue())
		g.Expect(r.crashedAt).To(gomega.Equal(at.Add(time.Millisecond)), "the crash is dated by the exchange that broke")
	}
	g.Expect(r.crashed).To(gomega.HaveLen(3 * (maxAbandoned + 1)))
	g.Expect(blocklistOf(t, r).Contains(poison)).To(gomega.BeTrue())
}
