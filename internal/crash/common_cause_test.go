package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const frequent, poison = Fingerprint(7), Fingerprint(8)

// endTogether has servers that are running content end 100 ms apart, as after a loss of
// power that each inbound proxy notices at its own time, and returns their records.
func endTogether(servers int, at time.Time, content Fingerprint) []*Record {
	records := make([]*Record, servers)
	for i := range records {
		records[i] = &Record{}
		records[i].AddBroken(at, "s", content)
		records[i].AddCrash(at.Add(time.Duration(i)*100*time.Millisecond), "s")
	}
	return records
}

// TestContentFinishedByEndedServersIsNotCharged guards against the refusal of frequent
// content because many servers that were running it lost their power together, again and
// again.
func TestContentFinishedByEndedServersIsNotCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	records := make([]*Record, 5)
	for i := range records {
		records[i] = &Record{}
	}
	for round := range 6 {
		at := start.Add(time.Duration(round) * time.Second)
		for i, r := range records {
			server := fmt.Sprintf("s%d", round)
			r.AddFinished(at.Add(-500*time.Millisecond), server, frequent)
			r.AddBroken(at, server, frequent)
			g.Expect(r.AddCrash(at.Add(time.Duration(i)*100*time.Millisecond), server)).To(gomega.BeFalse())
		}
		g.Expect(blocklistOf(t, records...).Empty()).To(gomega.BeTrue())
	}
}

// TestContentFinishedElsewhereIsCleared guards against the refusal of frequent content
// that servers without the common cause finish just before or after it.
func TestContentFinishedElsewhereIsCleared(t *testing.T) {
	for _, offset := range []time.Duration{-time.Second, time.Second} {
		g := gomega.NewWithT(t)
		records := endTogether(5, start, frequent)
		g.Expect(blocklistOf(t, records...).IsSuspect(frequent)).To(gomega.BeTrue())
		survivor := &Record{}
		survivor.AddServed(start.Add(offset), frequent)
		g.Expect(blocklistOf(t, append(records, survivor)...).Empty()).To(gomega.BeTrue())
	}
}

// TestUnexplainedEndsOffsetCrashes guards against the refusal of content that no server
// has finished yet because a failure domain lost its power, in which servers without that
// content ended too.
func TestUnexplainedEndsOffsetCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	records := endTogether(5, start, frequent)
	g.Expect(blocklistOf(t, records...).Contains(frequent)).To(gomega.BeTrue(), "nothing else ended")
	for range 4 {
		idle := &Record{}
		g.Expect(idle.AddCrash(start.Add(200*time.Millisecond), "s")).To(gomega.BeFalse())
		records = append(records, idle)
	}
	g.Expect(blocklistOf(t, records...).Empty()).To(gomega.BeTrue(), "four servers without it ended too")
	records = append(records, endTogether(1, start.Add(2*time.Second), frequent)...)
	records = append(records, endTogether(1, start.Add(3*time.Second), frequent)...)
	g.Expect(blocklistOf(t, records...).Contains(frequent)).To(gomega.BeTrue(), "two more crashes at other times")
}

// TestContentBesideCrashingContentIsNotCharged guards against the refusal of content that
// was running in several crashes which other content explains.
func TestContentBesideCrashingContentIsNotCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	var records []*Record
	for i := range 5 {
		r := &Record{}
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.AddBroken(at, "s", poison)
		if i < 4 {
			r.AddBroken(at, "s", frequent)
		}
		r.AddCrash(at, "s")
		records = append(records, r)
	}
	blocklist := blocklistOf(t, records...)
	g.Expect(blocklist.Contains(poison)).To(gomega.BeTrue())
	g.Expect(blocklist.IsSuspect(frequent)).To(gomega.BeFalse())
}

// TestOldSuccessDoesNotClearCrashes guards against content that a server finished once,
// maybe another version of it, and that is never refused afterwards.
func TestOldSuccessDoesNotClearCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	r.AddFinished(start, "before", poison)
	r.AddServed(start, poison)
	for i := range 3 {
		server := fmt.Sprintf("s%d", i)
		at := start.Add(vouchWindow + time.Duration(i+1)*100*time.Millisecond)
		r.AddBroken(at, server, poison)
		g.Expect(r.AddCrash(at, server)).To(gomega.BeTrue())
	}
	g.Expect(blocklistOf(t, r).Contains(poison)).To(gomega.BeTrue())
}

// TestBreakOfAnotherRunIsNotCharged guards against content that is charged with the crash
// of an earlier run of the server, noticed after the next run has broken an exchange.
func TestBreakOfAnotherRunIsNotCharged(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	r.AddBroken(start, "first", poison)
	r.AddBroken(start.Add(time.Second), "second", frequent)
	g.Expect(r.AddCrash(start.Add(1100*time.Millisecond), "first")).To(gomega.BeTrue())
	parsed, err := ParseRecord(r.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parsed.Crashed).To(gomega.Equal([]Occurrence{{poison, start}}))
}

// TestRecordKeepsRepeatedContent guards against content that is never refused, because
// each crash of a server with many slots drops the crashes before from its full record.
func TestRecordKeepsRepeatedContent(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	for i := range 3 {
		server, at := fmt.Sprintf("s%d", i), start.Add(time.Duration(i)*time.Second)
		for slot := range 20 {
			content := Fingerprint(100 + 20*i + slot)
			// The order in which exchanges break differs from crash to crash.
			if slot == 9*i {
				content = poison
			}
			r.AddBroken(at, server, content)
		}
		r.AddCrash(at, server)
	}
	g.Expect(blocklistOf(t, r).Contains(poison)).To(gomega.BeTrue())
}

// TestRecordOfEarlierProcessIsAdopted guards against crashes that are forgotten because
// the node that recorded them restarts.
func TestRecordOfEarlierProcessIsAdopted(t *testing.T) {
	g := gomega.NewWithT(t)
	earlier := &Record{}
	for i := range 3 {
		server := fmt.Sprintf("s%d", i)
		earlier.AddBroken(start.Add(time.Duration(i)*time.Second), server, poison)
		earlier.AddCrash(start.Add(time.Duration(i)*time.Second), server)
	}
	parsed, err := ParseRecord(earlier.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := &Record{}
	g.Expect(r.Adopt(parsed)).To(gomega.BeTrue())
	g.Expect(r.Adopt(parsed)).To(gomega.BeFalse(), "adopted already")
	g.Expect(blocklistOf(t, r).Contains(poison)).To(gomega.BeTrue())
}

// TestCrashingContentIsToldFromFrequentContent guards, for any mix of content on the
// servers, against crashing content that is not refused after three crashes, and against
// the refusal of content that each server had finished before.
func TestCrashingContentIsToldFromFrequentContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents := rapid.IntRange(1, 12).Draw(t, "contents")
		crashes := rapid.IntRange(crashesToBlock, 12).Draw(t, "crashes")
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		records := make([]*Record, nodes)
		for i := range records {
			records[i] = &Record{}
		}
		at := start
		for i := range crashes {
			at = at.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			r, server := records[i%nodes], fmt.Sprintf("s%d", i)
			for c := range contents {
				if rapid.Bool().Draw(t, "running") {
					r.AddFinished(at.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "ago"))*time.Millisecond), server, Fingerprint(100+c))
					r.AddBroken(at, server, Fingerprint(100+c))
				}
			}
			r.AddBroken(at, server, poison)
			r.AddCrash(at, server)
			blocklist := blocklistOf(t, records...)
			if blocklist.Contains(poison) != (i+1 >= crashesToBlock) {
				t.Fatalf("after %d crashes the content that causes them is refused: %v", i+1, blocklist.Contains(poison))
			}
			for c := range contents {
				if blocklist.Contains(Fingerprint(100 + c)) {
					t.Fatalf("content %d is refused although each server had finished it", c)
				}
			}
		}
	})
}
