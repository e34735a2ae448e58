package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

const simulatedNodes = 9

// TestConvergence guards against views that remain different, live nodes that
// remain dead, and records of an earlier process that override newer ones, after
// any reordering, duplication and loss of messages with kills, freezes, restarts
// and partitions of the fleet into any two parts.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(simulatedNodes)
		loss := rapid.IntRange(0, 60).Draw(t, "loss percent")
		s.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.deliver = func() (bool, bool) { return s.random.IntN(100) >= loss, s.random.IntN(100) >= loss }
		s.check = monotonicityCheck(t, s)
		node := rapid.IntRange(0, simulatedNodes-1)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			index := node.Draw(t, "node")
			p := s.processes[index]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				p.running = false
			case 1:
				behind := rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(t, "clock behind")
				s.start(index, behind)
			case 2:
				p.frozen = !p.frozen
			case 3:
				if p.active() {
					s.leave(index)
				}
			case 4:
				if p.active() {
					state := rapid.SampledFrom([]member.ServerState{member.ServerStarting, member.ServerReady, member.ServerLeaving}).Draw(t, "server")
					p.table().SetServer(member.Server{Service: "bokning", State: state, Since: s.now}, s.now)
				}
			case 5:
				s.replay(rapid.IntRange(0, 1<<20).Draw(t, "message"))
			case 6:
				s.partition = rapid.IntRange(0, 1<<simulatedNodes-1).Draw(t, "side")
			case 7:
				s.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "tenths")) * 100 * time.Millisecond)
			}
			s.check()
		}
		if difference := awaitConvergence(s); difference != "" {
			t.Fatal(difference)
		}
	})
}

// convergenceLimit is the time within which all views must be correct after the
// last failure. It allows for one full exchange and one repetition.
const convergenceLimit = 30 * time.Second

// awaitConvergence ends all failures and describes what is still wrong after
// convergenceLimit, or returns an empty string.
func awaitConvergence(s *simulation) (difference string) {
	s.partition = 0
	s.deliver = func() (bool, bool) { return true, true }
	for _, p := range s.processes {
		p.frozen = false
	}
	for end := s.now.Add(convergenceLimit); s.now.Before(end); {
		s.advance(2 * time.Second)
		if difference = compareViews(s); difference == "" {
			break
		}
	}
	return difference
}

// monotonicityCheck returns a check that no process replaces a record by an older
// one.
func monotonicityCheck(t *rapid.T, s *simulation) func() {
	type key struct {
		process *process
		id      string
	}
	newest := make(map[key]member.Record)
	return func() {
		for _, p := range s.processes {
			for _, record := range p.table().View().Nodes() {
				k := key{p, record.ID}
				current := newest[k]
				older := record.Incarnation < current.Incarnation ||
					record.Incarnation == current.Incarnation && record.Sequence < current.Sequence
				if older {
					t.Fatalf("node %d replaced record %+v by the older %+v", p.index, current, record)
				}
				newest[k] = record
			}
		}
	}
}

// compareViews describes the first running process whose view differs from the
// actual state, or returns an empty string.
func compareViews(s *simulation) string {
	for _, p := range s.processes {
		if !p.running {
			continue
		}
		view := p.table().View()
		for _, other := range s.processes {
			actual, known := view.Node(fmt.Sprintf("h%d", other.index))
			expected := other.table().View().Self
			switch {
			case other.running && actual != expected:
				return fmt.Sprintf("node %d has record %+v of node %d, want %+v", p.index, actual, other.index, expected)
			case !other.running && known && !actual.DeadOrLeft() && s.regionRunning(expected.Region):
				return fmt.Sprintf("node %d has record %+v of node %d, which is not running", p.index, actual, other.index)
			}
		}
		for _, region := range []string{"trondelag", "vestland"} {
			// A region without live records may be unknown to the node, which then
			// considers it reachable.
			hasRecords := slices.ContainsFunc(view.Nodes(), func(r member.Record) bool { return r.Region == region && !r.DeadOrLeft() })
			if view.RegionReachable(region) != s.regionRunning(region) && hasRecords {
				return fmt.Sprintf("node %d considers region %s reachable: %t", p.index, region, view.RegionReachable(region))
			}
		}
	}
	return ""
}
