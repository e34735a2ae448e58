package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// drawRecords returns members of two regions with two failure domains each;
// some are dead.
func drawRecords(t *rapid.T) []member.Record {
	var records []member.Record
	for i := range rapid.IntRange(1, 150).Draw(t, "members") {
		region := rapid.IntRange(0, 1).Draw(t, "region")
		state := member.Alive
		if rapid.IntRange(0, 5).Draw(t, "state") == 0 {
			state = member.Dead
		}
		records = append(records, member.Record{
			ID: fmt.Sprintf("n%03d", i), Region: fmt.Sprint(region), State: state,
			FailureDomain: fmt.Sprintf("%d-%d", region, rapid.IntRange(0, 1).Draw(t, "domain")),
		})
	}
	return records
}

// TestTreeHasNoCycle guards against nodes that only subscribe to each other:
// with one view, following the first parent ends at a root for every node, no
// relay gets more subscribers than it accepts, and no parent is dead.
func TestTreeHasNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		for _, region := range []string{"0", "1"} {
			candidates := ReaderCandidates(member.NewView(member.Record{}, records, nil), region)
			if len(candidates) > 0 && rapid.Bool().Draw(t, "leased") {
				index := slices.IndexFunc(records, func(r member.Record) bool { return r.ID == candidates[len(candidates)-1] })
				records[index].Reader = true
			}
		}
		parents := make(map[string]string)
		children := make(map[string]int)
		for _, record := range records {
			if record.State != member.Alive {
				continue
			}
			view := member.NewView(record, records, nil)
			parent, _ := ChooseParent(Parents(view, RoleOf(view, record.Reader), "0"), func(string) bool { return false })
			parents[record.ID] = parent
			if children[parent]++; parent != "" && children[parent] > maxSubscribers {
				t.Fatalf("%s has more than %d subscribers", parent, maxSubscribers)
			}
		}
		for id := range parents {
			depth := 0
			for next := id; next != ""; next = parents[next] {
				if _, alive := parents[next]; !alive || depth > 6 {
					t.Fatalf("the parents of %s lead to %s after %d hops", id, next, depth)
				}
				depth++
			}
		}
	})
}

// TestMergeReports guards the fleet status: the totals do not depend on the
// order and grouping of the reports, no node is lost and the limit on laggards
// holds.
func TestMergeReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []*controlpb.Report
		for i := range rapid.IntRange(1, 100).Draw(t, "nodes") {
			record := member.Record{Region: "r", FailureDomain: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "domain"))}
			report := nodeReport(record, uint64(rapid.IntRange(1, 10).Draw(t, "version")))
			report.Laggards = []*controlpb.Laggard{{Node: fmt.Sprint(i), AgeMs: uint32(rapid.IntRange(0, 99).Draw(t, "age"))}}
			reports = append(reports, report)
		}
		split := rapid.IntRange(0, len(reports)).Draw(t, "split")
		merged := MergeReports(reports...)
		grouped := MergeReports(MergeReports(reports[split:]...), MergeReports(reports[:split]...))
		if !proto.Equal(merged, grouped) {
			t.Fatalf("merged in two groups: got %v, want %v", grouped, merged)
		}
		nodes := 0
		for _, domain := range merged.Domains {
			for _, count := range domain.Versions {
				nodes += int(count.Nodes)
			}
		}
		if nodes != len(reports) || len(merged.Laggards) != min(len(reports), maxLaggards) {
			t.Fatalf("%d nodes and %d laggards of %d reports", nodes, len(merged.Laggards), len(reports))
		}
	})
}

// TestReadiness guards invariant I1 across a restart: which peers must have
// responded before a node may serve calls.
func TestReadiness(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name       string
		prepare    func(*readinessState)
		held       uint64
		others     int
		hasParents bool
		after      time.Duration
		want       bool
	}{
		{"no response", func(*readinessState) {}, 3, 5, true, time.Minute, false},
		{"parent and peer", func(s *readinessState) { s.recordPeerVersion("p", 3, true); s.recordPeerVersion("n", 2, false) }, 3, 5, true, 0, true},
		{"behind a peer", func(s *readinessState) { s.recordPeerVersion("p", 3, true); s.recordPeerVersion("n", 4, false) }, 3, 5, true, 0, false},
		{"parent only", func(s *readinessState) { s.recordPeerVersion("p", 3, true) }, 3, 5, true, time.Minute, false},
		{"parent only, no other node", func(s *readinessState) { s.recordPeerVersion("p", 3, true) }, 3, 1, true, 0, true},
		{"peers, waiting for the parent", func(s *readinessState) { s.recordPeerVersion("m", 3, false); s.recordPeerVersion("n", 3, false) }, 3, 5, true, 0, false},
		{"peers, parent did not respond in time", func(s *readinessState) { s.recordPeerVersion("m", 3, false); s.recordPeerVersion("n", 3, false) }, 3, 5, true, parentGrace, true},
		{"peers without a configuration", func(s *readinessState) { s.recordPeerVersion("p", 0, true); s.recordPeerVersion("n", 0, false) }, 0, 5, true, time.Minute, false},
		{"store", func(s *readinessState) { s.recordStoreVersion(3) }, 3, 5, true, 0, true},
		{"empty store", func(s *readinessState) { s.recordStoreVersion(0) }, 0, 5, true, 0, true},
		{"store, but a peer is newer", func(s *readinessState) { s.recordStoreVersion(3); s.recordPeerVersion("n", 4, false) }, 3, 5, true, 0, false},
	}
	for _, test := range cases {
		state := newReadinessState(start)
		test.prepare(state)
		if got := state.mayServe(test.held, test.others, test.hasParents, start.Add(test.after)); got != test.want {
			t.Errorf("%s: mayServe = %t, want %t", test.name, got, test.want)
		}
	}
}

// TestRepairIsNotPostponed guards against a node that stays behind while the
// version of its neighbour increases faster than the repair delay.
func TestRepairIsNotPostponed(t *testing.T) {
	state := newRepairState()
	now := time.Unix(0, 0)
	for version := uint64(1); version <= 3; version++ {
		state.observe("n", config.Digest{Version: version}, config.Digest{}, repairDelay, now)
		now = now.Add(repairDelay / 2)
	}
	if node, _ := state.next(config.Digest{}, config.Digest{}, now); node != "n" {
		t.Error("no repair after the delay")
	}
	state.recordFailure("n", now)
	if node, wait := state.next(config.Digest{}, config.Digest{}, now); node != "" || wait != repairDelay {
		t.Errorf("after a failure: node %q, wait %s", node, wait)
	}
	if node, wait := state.next(config.Digest{}, config.Digest{Version: 3}, now.Add(time.Second)); node != "" || wait != 0 {
		t.Errorf("a rejected digest is fetched again: node %q, wait %s", node, wait)
	}
}
