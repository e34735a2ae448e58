package crash

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func blocklistOf(t interface{ Fatal(...any) }, records ...*Record) Blocklist {
	var all []ParsedRecord
	for _, record := range records {
		parsed, err := ParseRecord(record.String())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, parsed)
	}
	return NewBlocklist(all)
}

// TestThirdCrashBlocks guards against a request that crashes one server after the
// other, and against the refusal of requests that were running at the same time.
func TestThirdCrashBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &Record{}, &Record{}
	const poison, neighbour = 7, 8
	crash := func(r *Record, now time.Time) {
		r.AddBroken(now, "s", poison)
		r.AddBroken(now, "s", poison)
		r.AddBroken(now, "s", neighbour)
		g.Expect(r.AddCrash(now.Add(100*time.Millisecond), "s")).To(gomega.BeTrue())
	}
	crash(a, start)
	crash(b, start.Add(time.Second))
	blocklist := blocklistOf(t, a, b)
	g.Expect(blocklist.Contains(poison)).To(gomega.BeFalse(), "two crashes")
	g.Expect(blocklist.IsSuspect(poison)).To(gomega.BeTrue())
	g.Expect(blocklist.IsSuspect(neighbour)).To(gomega.BeTrue())
	g.Expect(b.AddServed(start.Add(2*time.Second), neighbour)).To(gomega.BeTrue())
	g.Expect(b.AddServed(start.Add(2*time.Second), neighbour)).To(gomega.BeFalse(), "known already")
	crash(a, start.Add(3*time.Second))
	blocklist = blocklistOf(t, a, b)
	g.Expect(blocklist.Contains(poison)).To(gomega.BeTrue())
	g.Expect(blocklist.Contains(neighbour)).To(gomega.BeFalse(), "a server has finished it")
	now := start.Add(retention + time.Second)
	g.Expect(a.Expire(now)).To(gomega.BeTrue())
	g.Expect(blocklistOf(t, a, b).Contains(poison)).To(gomega.BeFalse(), "one crash has expired")
}

// TestCrashesAreDatedByTheirExchanges guards against two crashes that count as one
// because the first was noticed late, when its server was already back.
func TestCrashesAreDatedByTheirExchanges(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	for i, noticedAfter := range []time.Duration{1400 * time.Millisecond, 0, 0} {
		brokeAt := start.Add(time.Duration(i) * 1500 * time.Millisecond)
		server := string(rune('a' + i))
		r.AddBroken(brokeAt, server, 7)
		g.Expect(r.AddCrash(brokeAt.Add(noticedAfter), server)).To(gomega.BeTrue())
	}
	g.Expect(blocklistOf(t, r).Contains(7)).To(gomega.BeTrue(), "three crashes, 1.5 s apart")
}

// TestExchangeThatBreaksAfterTheCrashCounts guards against content that is not
// charged with a crash, because another exchange with the server broke first and the
// end of the server was noticed in between.
func TestExchangeThatBreaksAfterTheCrashCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	for i := range 3 {
		server, brokeAt := string(rune('a'+i)), start.Add(time.Duration(i)*1500*time.Millisecond)
		r.AddBroken(brokeAt, server, 8)
		r.AddCrash(brokeAt, server)
		g.Expect(r.AddBroken(brokeAt.Add(time.Millisecond), "other", 9)).To(gomega.BeFalse(), "another server")
		g.Expect(r.AddBroken(brokeAt.Add(time.Millisecond), server, 7)).To(gomega.BeTrue())
	}
	g.Expect(blocklistOf(t, r).Contains(7)).To(gomega.BeTrue())
	g.Expect(blocklistOf(t, r).Contains(9)).To(gomega.BeFalse())
}

// TestBrokenExchangeWithoutCrashIsIgnored guards against content that becomes
// suspect because its connection was reset while the server kept running.
func TestBrokenExchangeWithoutCrashIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	r.AddBroken(start, "s", 7)
	g.Expect(r.AddCrash(start.Add(attributionWindow+time.Second), "s")).To(gomega.BeFalse())
	g.Expect(blocklistOf(t, r).Empty()).To(gomega.BeTrue())
}

// TestRecordsStayBoundedAndReadable guards against a record that grows without
// bound, and against one that its readers reject.
func TestRecordsStayBoundedAndReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Record{}
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			content := Fingerprint(rapid.Uint64().Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r.AddBroken(now, "s", content)
			case 2:
				r.AddCrash(now, "s")
			case 3:
				r.AddServed(now, content)
			}
		}
		parsed, err := ParseRecord(r.String())
		if err != nil {
			t.Fatal(err)
		}
		if len(parsed.Crashed) > maxOccurrences || len(parsed.Served) > maxOccurrences {
			t.Fatalf("%d crashed and %d served occurrences, want at most %d each", len(parsed.Crashed), len(parsed.Served), maxOccurrences)
		}
		if len(parsed.Crashed) != len(r.crashed) || len(parsed.Served) != len(r.served) {
			t.Fatal("occurrences were lost in the encoding")
		}
	})
}

// TestMalformedRecords guards against a malformed record that is accepted in
// part.
func TestMalformedRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"-", "1,,2", "1;;2", "1@1;2@1;3@1", "1 2", "1@", "@1", "1"} {
		_, err := ParseRecord(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
}
