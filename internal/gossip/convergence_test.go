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

// TestConvergence guards against views that stay different, live nodes that stay
// dead, and records of an earlier process that win, after any order, repetition
// and loss of messages with kills, freezes, restarts and cuts between any two parts of
// the fleet.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(simulatedNodes)
		loss := rapid.IntRange(0, 60).Draw(t, "loss percent")
		s.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.lossy = func() (bool, bool) { return s.random.IntN(100) >= loss, s.random.IntN(100) >= loss }
		s.check = neverBack(t, s)
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
				s.side = rapid.IntRange(0, 1<<simulatedNodes-1).Draw(t, "side")
			case 7:
				s.advance(time.Duration(rapid.IntRange(1, 80).Draw(t, "tenths")) * 100 * time.Millisecond)
			}
			s.check()
		}
		if difference := heal(s); difference != "" {
			t.Fatal(difference)
		}
	})
}

// convergenceLimit is the time within which all views must be right after the
// last failure. It leaves room for one full exchange and its repetition.
const convergenceLimit = 30 * time.Second

// heal ends all failures and describes what is still wrong after the limit.
func heal(s *simulation) (difference string) {
	s.side = 0
	s.lossy = func() (bool, bool) { return true, true }
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

// neverBack returns a check that no process ever replaces a record by an older
// one.
func neverBack(t *rapid.T, s *simulation) func() {
	type key struct {
		process *process
		id      string
	}
	newest := make(map[key]member.Record)
	return func() {
		for _, p := range s.processes {
			for _, record := range p.table().View().Nodes() {
				k := key{p, record.ID}
				held := newest[k]
				back := record.Incarnation < held.Incarnation ||
					record.Incarnation == held.Incarnation && record.Sequence < held.Sequence
				if back {
					t.Fatalf("node %d moved back from %+v to %+v", p.index, held, record)
				}
				newest[k] = record
			}
		}
	}
}

// compareViews describes the first running process whose view differs from what
// is so.
func compareViews(s *simulation) string {
	for _, p := range s.processes {
		if !p.running {
			continue
		}
		view := p.table().View()
		for _, other := range s.processes {
			held, known := view.Node(fmt.Sprintf("h%d", other.index))
			own := other.table().View().Self
			switch {
			case other.running && held != own:
				return fmt.Sprintf("node %d holds %+v of node %d, which is %+v", p.index, held, other.index, own)
			case !other.running && known && !held.DeadOrLeft() && s.regionRuns(own.Region):
				return fmt.Sprintf("node %d holds %+v of node %d, which does not run", p.index, held, other.index)
			}
		}
		for _, region := range []string{"trondelag", "vestland"} {
			// A region of which no record is left is not reported.
			reported := slices.ContainsFunc(view.Nodes(), func(r member.Record) bool { return r.Region == region && !r.DeadOrLeft() })
			if view.RegionReachable(region) != s.regionRuns(region) && reported {
				return fmt.Sprintf("node %d holds the region %s reachable: %t", p.index, region, view.RegionReachable(region))
			}
		}
	}
	return ""
}
