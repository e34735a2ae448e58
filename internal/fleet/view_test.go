package fleet

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// crashRecord returns the encoded record of a crash that was running a request.
func crashRecord(content crash.Fingerprint, at time.Time) string {
	record := &crash.Record{}
	record.AddBroken(at, "i", content)
	record.AddCrash(at, "i")
	return record.String()
}

// checkView fails when a view doesn't show exactly the given entries.
func checkView(t *rapid.T, view *View, want map[string]Entry) {
	nodes := slices.Sorted(maps.Keys(want))
	var entries []Entry
	ready := make(map[string]map[string]Entry)
	rebuilt := NewTable(time.Second)
	var records []crash.ParsedRecord
	for _, node := range nodes {
		entries = append(entries, want[node])
		rebuilt.Merge(want[node])
		record, err := crash.ParseRecord(want[node].Crashes)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, record)
		if want[node].State != Ready {
			continue
		}
		if ready[want[node].Service] == nil {
			ready[want[node].Service] = make(map[string]Entry)
		}
		ready[want[node].Service][node] = want[node]
	}
	if got := view.Entries(); !slices.EqualFunc(got, entries, Entry.Equal) || view.Len() != len(entries) {
		t.Fatalf("view of %d nodes has entries %v, want %v", view.Len(), got, entries)
	}
	if view.Digest() != rebuilt.View().Digest() {
		t.Fatalf("digest %x, a table of the same entries has %x", view.Digest(), rebuilt.View().Digest())
	}
	blocklist := crash.NewBlocklist(records)
	for content := range crash.Fingerprint(3) {
		if view.Blocklist().Contains(content) != blocklist.Contains(content) || view.Blocklist().IsSuspect(content) != blocklist.IsSuspect(content) {
			t.Fatalf("blocklist of content %d differs from that of all records", content)
		}
	}
	for _, service := range []string{"s", "u"} {
		checkCandidates(t, view.Candidates(service), ready[service])
	}
}

// checkCandidates fails when the groups don't hold exactly the ready entries.
func checkCandidates(t *rapid.T, candidates Candidates, ready map[string]Entry) {
	got := make(map[string]Entry)
	domains := make(map[string]bool)
	for _, group := range candidates.Groups() {
		if domains[group.Domain] || group.Len() == 0 {
			t.Fatalf("domain %s has two groups or an empty one", group.Domain)
		}
		domains[group.Domain] = true
		for i := range group.Len() {
			entry := *group.At(i)
			if entry.Domain != group.Domain {
				t.Fatalf("%v in the group of domain %s", entry, group.Domain)
			}
			if found, ok := candidates.Find(entry.Node); !ok || !found.Equal(entry) {
				t.Fatalf("node %s is not found", entry.Node)
			}
			got[entry.Node] = entry
		}
	}
	if !maps.EqualFunc(got, ready, Entry.Equal) {
		t.Fatalf("candidates %v, want %v", got, ready)
	}
}

// TestViewsStayAsPublished guards against a change of the table that alters a view
// published before, with which it shares its content, and against an index that drifts
// from the entries when nodes join, leave, restart elsewhere or change their service.
func TestViewsStayAsPublished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(time.Second)
		current := make(map[string]Entry)
		type published struct {
			view    *View
			entries map[string]Entry
		}
		var all []published
		// More nodes than an element of the trees holds, so that elements split and merge.
		for i := range rapid.IntRange(0, 80).Draw(t, "nodes at first") {
			e := entry(fmt.Sprint("n", i), 1, 1, Ready)
			current[e.Node] = e
			table.Merge(e)
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := fmt.Sprint("n", rapid.IntRange(0, 90).Draw(t, "node"))
			if rapid.IntRange(0, 2).Draw(t, "leave") == 0 {
				delete(current, node)
				table.Remove([]string{node})
			} else {
				e := entry(node, 2, int64(step), rapid.SampledFrom([]State{Ready, Ready, Draining, Absent}).Draw(t, "state"))
				e.Domain = rapid.SampledFrom([]string{"d", "e", "f"}).Draw(t, "domain")
				e.Service = rapid.SampledFrom([]string{"s", "u"}).Draw(t, "service")
				if rapid.Bool().Draw(t, "crashed") {
					e.Crashes = crashRecord(crash.Fingerprint(rapid.IntRange(0, 2).Draw(t, "content")), start.Add(time.Duration(step)*time.Minute))
				}
				current[node] = e
				table.Merge(e)
			}
			all = append(all, published{table.View(), maps.Clone(current)})
		}
		for _, p := range all {
			checkView(t, p.view, p.entries)
		}
	})
}

// TestViewIsReadWhileTheTableChanges guards against a change that writes to the part of
// the trees that a published view shares. The race detector reports it.
func TestViewIsReadWhileTheTableChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	const count = 200
	table := NewTable(time.Second)
	for i := range count {
		table.Merge(entry(fmt.Sprint("n", i), 1, 1, Ready))
	}
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				view := table.View()
				for _, group := range view.Candidates("s").Groups() {
					for i := range group.Len() {
						view.Contains(group.At(i).Node)
					}
				}
				view.Entries()
			}
		})
	}
	for i := range 2000 {
		table.Merge(entry(fmt.Sprint("n", i%count), 1, int64(i+2), []State{Ready, Draining}[i/count%2]))
	}
	close(stop)
	readers.Wait()
	g.Expect(table.View().Len()).To(gomega.Equal(count))
}
