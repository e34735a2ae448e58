package crash

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func blocksOf(t interface{ Fatal(...any) }, records ...*Record) Blocklist {
	var all []ParsedRecord
	for _, record := range records {
		contents, err := ParseRecord(record.String())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, contents)
	}
	return NewBlocklist(all)
}

// TestThirdCrashBlocks guards against a request that ends one server after the
// other, and against the refusal of requests that ran beside it.
func TestThirdCrashBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := &Record{}, &Record{}
	const poison, neighbour = 7, 8
	crash := func(r *Record, now time.Time) {
		r.AddBroken(now, poison)
		r.AddBroken(now, poison)
		r.AddBroken(now, neighbour)
		g.Expect(r.AddCrash(now.Add(100 * time.Millisecond))).To(gomega.BeTrue())
	}
	crash(a, start)
	crash(b, start.Add(time.Second))
	blocks := blocksOf(t, a, b)
	g.Expect(blocks.Contains(poison)).To(gomega.BeFalse(), "two crashes")
	g.Expect(blocks.IsSuspect(poison)).To(gomega.BeTrue())
	g.Expect(blocks.IsSuspect(neighbour)).To(gomega.BeTrue())
	g.Expect(b.AddServed(start.Add(2*time.Second), neighbour)).To(gomega.BeTrue())
	g.Expect(b.AddServed(start.Add(2*time.Second), neighbour)).To(gomega.BeFalse(), "known already")
	crash(a, start.Add(3*time.Second))
	blocks = blocksOf(t, a, b)
	g.Expect(blocks.Contains(poison)).To(gomega.BeTrue())
	g.Expect(blocks.Contains(neighbour)).To(gomega.BeFalse(), "a server has finished it")
	now := start.Add(remembered + time.Second)
	g.Expect(a.Expire(now)).To(gomega.BeTrue())
	g.Expect(blocksOf(t, a, b).Contains(poison)).To(gomega.BeFalse(), "a crash is forgotten")
}

// TestCommonLossIsOneCrash guards against the refusal of frequent content because many
// servers that were running it lost their power together.
func TestCommonLossIsOneCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	var records []*Record
	for i := range 5 {
		r := &Record{}
		r.AddBroken(start, 7)
		r.AddCrash(start.Add(time.Duration(i) * 100 * time.Millisecond))
		records = append(records, r)
	}
	g.Expect(blocksOf(t, records...).Empty()).To(gomega.BeTrue())
}

// TestBreakWithoutEndIsNoCrash guards against content that is suspected because its
// connection was reset while the server went on.
func TestBreakWithoutEndIsNoCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	r := &Record{}
	r.AddBroken(start, 7)
	g.Expect(r.AddCrash(start.Add(attributed + time.Second))).To(gomega.BeFalse())
	g.Expect(blocksOf(t, r).Empty()).To(gomega.BeTrue())
}

// TestRecordsStayBoundedAndReadable guards against an entry that grows without
// bound, and against one that its readers refuse.
func TestRecordsStayBoundedAndReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Record{}
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			content := Fingerprint(rapid.Uint64().Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r.AddBroken(now, content)
			case 2:
				r.AddCrash(now)
			case 3:
				r.AddServed(now, content)
			}
		}
		contents, err := ParseRecord(r.String())
		if err != nil {
			t.Fatal(err)
		}
		if len(contents.Crashed) > maxContents || len(contents.Served) > maxContents {
			t.Fatalf("%d and %d contents", len(contents.Crashed), len(contents.Served))
		}
		if len(contents.Crashed) != len(r.crashed) || len(contents.Served) != len(r.served) {
			t.Fatal("contents were lost in the encoding")
		}
	})
}

// TestMalformedRecords guards against an entry that is half understood.
func TestMalformedRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"-", "1,,2", "1;;2", "1@1;2@1;3@1", "1 2", "1@", "@1", "1"} {
		_, err := ParseRecord(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
}
