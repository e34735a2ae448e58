package fleet

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func entry(node string, incarnation, sequence int64, state State) Entry {
	return Entry{
		Node: node, InboundAddress: "127.0.0.1:1", Domain: "d", Service: "s", State: state, Slots: 1,
		Incarnation: incarnation, Sequence: sequence,
	}
}

// TestMergeProperties guards against an older entry that replaces a newer one, in
// whatever order the entries come.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(time.Second)
		newest := make(map[string]Entry)
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			e := entry(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "node")), rapid.Int64Range(1, 4).Draw(t, "incarnation"),
				rapid.Int64Range(0, 4).Draw(t, "sequence"), rapid.SampledFrom([]State{Ready, Draining, Absent}).Draw(t, "state"))
			previous, found := newest[e.Node]
			if !found || e.NewerThan(previous) {
				newest[e.Node] = e
			}
			table.Merge(e)
		}
		ready := 0
		for node, want := range newest {
			if got, _ := table.Get(node); !got.Equal(want) {
				t.Fatalf("node %s: %+v, want %+v", node, got, want)
			}
			if want.State == Ready {
				ready++
			}
		}
		if got := len(table.View().Ready("s")); got != ready {
			t.Fatalf("%d ready nodes in the view, want %d", got, ready)
		}
	})
}

// TestLapsedEntries guards against a node that is removed before it can write its
// entry again, and against one that is kept forever.
func TestLapsedEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(time.Second)
	table.Merge(entry("a", 1, 1, Ready))
	table.Merge(entry("b", 1, 1, Ready))
	table.MarkLapsed("a", start)
	g.Expect(table.Expire(start.Add(900 * time.Millisecond))).To(gomega.BeEmpty())
	table.Merge(entry("a", 1, 1, Ready))
	g.Expect(table.Expire(start.Add(2 * time.Second))).To(gomega.BeEmpty())
	table.SyncFromStore([]Entry{entry("a", 1, 1, Ready)}, start)
	g.Expect(table.Expire(start.Add(time.Second))).To(gomega.Equal([]string{"b"}))
	g.Expect(table.View().Ready("s")).To(gomega.HaveLen(1))
}

// TestSyncFromPeer guards against a follower that keeps nodes for good which its leader
// removed, or removes itself.
func TestSyncFromPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	table, start := NewTable(time.Second), time.Now()
	local := entry("local", 3, 1, Ready)
	table.Merge(local)
	table.Merge(entry("removed", 1, 1, Ready))
	listed := []Entry{entry("a", 1, 1, Ready), entry("local", 2, 9, Draining)}
	table.SyncFromPeer(listed, local, start)
	table.SyncFromPeer(listed, local, start.Add(500*time.Millisecond))
	g.Expect(table.Expire(start.Add(time.Second))).To(gomega.Equal([]string{"removed"}))
	g.Expect(table.Entries()).To(gomega.Equal([]Entry{entry("a", 1, 1, Ready), local}))
}

// TestFollowerKeepsANodeThatItsLeaderDoesNotKnowYet guards against a follower that drops a
// live node because its leader has just started and listed the store before that node has
// written its entry again.
func TestFollowerKeepsANodeThatItsLeaderDoesNotKnowYet(t *testing.T) {
	g := gomega.NewWithT(t)
	table, start := NewTable(time.Second), time.Now()
	local, live := entry("local", 3, 1, Ready), entry("live", 1, 1, Ready)
	table.Merge(live)
	table.SyncFromPeer(nil, local, start)
	g.Expect(table.Expire(start.Add(900 * time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(table.View().Ready("s")).To(gomega.HaveLen(2))
	table.SyncFromPeer([]Entry{live}, local, start.Add(900*time.Millisecond))
	g.Expect(table.Expire(start.Add(time.Hour))).To(gomega.BeEmpty())
	g.Expect(table.View().Ready("s")).To(gomega.HaveLen(2))
}

// FuzzDecode guards against an entry that is accepted although a field is
// invalid.
func FuzzDecode(f *testing.F) {
	f.Add(entry("a", 1, 1, Ready).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		var named struct {
			Node string `json:"n"`
		}
		// Data that is no entry is rejected whatever its node is.
		_ = json.Unmarshal(data, &named)
		if decoded, err := Decode(named.Node, data); err == nil {
			if again, err := Decode(named.Node, decoded.Encode()); err != nil || !again.Equal(decoded) {
				t.Fatalf("%+v decodes as %+v, %v", decoded, again, err)
			}
		}
	})
}

// TestChangesSinceYieldTheSameView guards against a follower that misses a
// change or a removal, and against reporting no changes when they are no longer
// known.
func TestChangesSinceYieldTheSameView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, follower := NewTable(time.Second), NewTable(time.Second)
		local := Entry{Node: "follower", Incarnation: 1}
		leader.Merge(local)
		now := time.Unix(1000, 0)
		position := uint64(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node")
			switch rapid.SampledFrom([]string{"merge", "merge", "leave", "read"}).Draw(t, "step") {
			case "merge":
				leader.Merge(Entry{Node: node, Service: "s", State: Ready, Incarnation: 1, Sequence: int64(step)})
			case "leave":
				leader.MarkLapsed(node, now)
				now = now.Add(2 * time.Second)
				leader.Expire(now)
			case "read":
				changes, known := leader.ChangesSince(position)
				if !known {
					if position != 0 {
						t.Fatalf("position %d is not known", position)
					}
					follower.SyncFromPeer(leader.Entries(), local, now)
					follower.Expire(now.Add(time.Second))
					position = leader.View().Position()
					break
				}
				for _, entry := range changes.Entries {
					follower.Merge(entry)
				}
				follower.Remove(changes.Removed)
				position = changes.Position
				if follower.View().Digest() != leader.View().Digest() {
					t.Fatalf("leader %v, follower %v", leader.Entries(), follower.Entries())
				}
			}
		}
	})
	table := NewTable(time.Second)
	for i := range maxRemovals + 2 {
		node := strconv.Itoa(i)
		table.Merge(Entry{Node: node, Incarnation: 1})
		table.Remove([]string{node})
	}
	if _, known := table.ChangesSince(1); known {
		t.Fatal("changes since a trimmed removal are reported as known")
	}
	if _, known := table.ChangesSince(table.View().Position() + 1); known {
		t.Fatal("a position of another run, beyond that of the table, is reported as known")
	}
}

// TestRestoredStoreKeepsTheFleet guards against a server that left and is in use again,
// because a restored store lists the entry that it had before, and against a live one
// that is dropped before its node had the time to write its entry again.
func TestRestoredStoreKeepsTheFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	const retention, rewrite = 2 * time.Second, time.Second
	now := time.Unix(100, 0)
	table := NewTable(retention)
	entry := func(node string, sequence int64) Entry {
		return Entry{Node: node, Service: "s", State: Ready, Incarnation: 1, Sequence: sequence}
	}
	nodes := func() []string {
		var names []string
		for _, e := range table.View().Ready("s") {
			names = append(names, e.Node)
		}
		return names
	}
	table.SyncFromStore([]Entry{entry("left", 3), entry("lapsed", 3), entry("lost", 3), entry("returned", 3)}, now)
	table.Remove([]string{"left", "returned"})
	table.MarkLapsed("lapsed", now)

	// The copy is older than the removals and than the entry "lost".
	departed := table.SyncFromRestoredStore([]Entry{entry("left", 2), entry("lapsed", 3), entry("returned", 4), entry("new", 1)}, now, rewrite)
	g.Expect(departed).To(gomega.ConsistOf("left", "lapsed"))
	g.Expect(nodes()).To(gomega.ConsistOf("lapsed", "lost", "new", "returned"))
	g.Expect(table.Expire(now.Add(retention))).To(gomega.ConsistOf("lapsed"))
	g.Expect(table.Expire(now.Add(retention + rewrite - 1))).To(gomega.BeEmpty())
	g.Expect(nodes()).To(gomega.ConsistOf("lost", "new", "returned"))
	table.Merge(entry("left", 2))
	g.Expect(nodes()).To(gomega.ContainElement("left"), "an entry that is written again is taken")
	g.Expect(table.Expire(now.Add(retention + rewrite))).To(gomega.ConsistOf("lost"))
}

// TestReportedEntriesNeedConfirmation guards against an entry of a node that has left and
// is kept forever, because a peer that did not know of it reported the entry.
func TestReportedEntriesNeedConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	const retention, rewrite = 2 * time.Second, time.Second
	table := NewTable(retention)
	for _, node := range []string{"left", "lapsed", "changed"} {
		table.Merge(entry(node, 1, 1, Ready))
	}
	table.Remove([]string{"left"})
	table.MarkLapsed("lapsed", start)
	table.MarkLapsed("changed", start)
	g.Expect(table.MergeReported(entry("left", 1, 1, Ready), start, rewrite)).To(gomega.BeFalse())
	g.Expect(table.MergeReported(entry("lapsed", 1, 1, Ready), start, rewrite)).To(gomega.BeFalse())
	g.Expect(table.MergeReported(entry("changed", 1, 2, Draining), start, rewrite)).To(gomega.BeTrue())
	for _, node := range []string{"unknown", "confirmed", "listed"} {
		g.Expect(table.MergeReported(entry(node, 1, 1, Ready), start, rewrite)).To(gomega.BeTrue())
	}
	table.Merge(entry("confirmed", 1, 1, Ready))
	table.SyncFromRestoredStore([]Entry{entry("confirmed", 1, 1, Ready), entry("listed", 1, 1, Ready)}, start, rewrite)
	changed, _ := table.Get("changed")
	g.Expect(changed.State).To(gomega.Equal(Draining))
	g.Expect(table.Expire(start.Add(retention))).To(gomega.ConsistOf("lapsed", "changed"))
	g.Expect(table.Expire(start.Add(retention + rewrite))).To(gomega.ConsistOf("unknown"))
	g.Expect(table.View().Len()).To(gomega.Equal(2))
}
