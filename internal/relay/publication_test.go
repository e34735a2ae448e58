package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// simulatedNode is the part of a node that decides on publication.
type simulatedNode struct {
	holder      *config.Holder
	applier     *updateApplier
	encoder     *updateEncoder
	lastVersion uint64
}

func newSimulatedNode() *simulatedNode {
	holder := config.NewHolder()
	return &simulatedNode{holder: holder, encoder: newUpdateEncoder(holder), applier: &updateApplier{
		holder: holder, events: event.NewRing("", 2, time.Now), logger: telemetry.DiscardLogger(),
		metrics: newMetrics(tally.NoopScope), now: time.Now,
	}}
}

// simulation holds nodes, the versions accepted by the store and the messages
// in transit.
type simulation struct {
	nodes     []*simulatedNode
	accepted  []*config.Snapshot
	inTransit []*controlpb.Update
}

func (s *simulation) newest() *config.Snapshot { return s.accepted[len(s.accepted)-1] }

func (s *simulation) acceptChange(t *rapid.T) {
	target := testTarget(rapid.Float64Range(1, 99).Draw(t, "success"))
	target.Name = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	target.Path = "/" + target.Name
	id := fmt.Sprint("change-", len(s.accepted))
	next, err := config.Apply(s.newest(), config.Change{ID: id, Targets: []config.TargetUpsert{{Target: target}}}, config.Rules{})
	if err != nil {
		t.Fatal(err)
	}
	if next != s.newest() {
		s.accepted = append(s.accepted, next)
	}
}

// readStore lets a node read the newest or a stale value. Several nodes do so,
// like two concurrent readers.
func (s *simulation) readStore(t *rapid.T, node *simulatedNode) {
	if value := rapid.SampledFrom(s.accepted).Draw(t, "stored"); value.Version() > 0 {
		data, err := value.Encode()
		if err != nil {
			t.Fatal(err)
		}
		node.applier.applyStored(data)
	}
}

func (s *simulation) send(t *rapid.T, node *simulatedNode) {
	update, err := node.encoder.updateFrom(rapid.SampledFrom(s.accepted).Draw(t, "held").Digest())
	if err != nil {
		t.Fatal(err)
	}
	s.inTransit = append(s.inTransit, update)
}

// deliver delivers a message, possibly late, repeated or with any field
// corrupted.
func (s *simulation) deliver(t *rapid.T, node *simulatedNode) {
	if len(s.inTransit) == 0 {
		return
	}
	update := rapid.SampledFrom(s.inTransit).Draw(t, "message")
	if rapid.Bool().Draw(t, "corrupted") {
		update = corrupt(t, update)
	}
	_ = node.applier.apply(update, "peer", rapid.Bool().Draw(t, "from parent"))
}

func corrupt(t *rapid.T, update *controlpb.Update) *controlpb.Update {
	corrupted := proto.Clone(update).(*controlpb.Update)
	switch field := rapid.IntRange(0, 3).Draw(t, "field"); {
	case field == 0:
		corrupted.To.Version += uint64(rapid.IntRange(1, 3).Draw(t, "version"))
	case field == 1:
		corrupted.To.Hash++
	case len(corrupted.Delta) > 0:
		corrupted.Delta[rapid.IntRange(0, len(corrupted.Delta)-1).Draw(t, "byte")] ^= 1
	case len(corrupted.Document) > 0:
		corrupted.Document[rapid.IntRange(0, len(corrupted.Document)-1).Draw(t, "byte")] ^= 1
	}
	return corrupted
}

// sendForged sends a well-formed update whose content does not match its
// digest, a corruption that the decoder cannot detect.
func (s *simulation) sendForged(t *rapid.T) {
	index := rapid.IntRange(1, len(s.accepted)).Draw(t, "forged")
	if index == len(s.accepted) {
		return
	}
	base, to := s.accepted[index-1], s.accepted[index]
	change := config.Change{ID: fmt.Sprint("change-", index), Targets: []config.TargetUpsert{{Target: testTarget(99.5)}}}
	forged, err := config.Apply(base, change, config.Rules{})
	if err != nil {
		return
	}
	update := &controlpb.Update{From: toProto(base.Digest()), To: toProto(to.Digest())}
	if rapid.Bool().Draw(t, "delta") {
		update.Delta, _ = config.DeltaBetween(base, forged).Encode()
	} else {
		update.Document, _ = forged.Encode()
	}
	s.inTransit = append(s.inTransit, update)
}

// checkInvariants guards invariants I1 and I3: the version in force is exactly
// one that the store accepted, and it never decreases within a process.
func (s *simulation) checkInvariants(t *rapid.T) {
	for i, node := range s.nodes {
		held := node.holder.Current()
		if held.Version() < node.lastVersion {
			t.Fatalf("node %d went from version %d to %d", i, node.lastVersion, held.Version())
		}
		if held.Version() >= uint64(len(s.accepted)) || held.Digest() != s.accepted[held.Version()].Digest() {
			t.Fatalf("node %d holds %v, which was never accepted", i, held.Digest())
		}
		node.lastVersion = held.Version()
	}
}

// converge delivers the newest version to all nodes, as the tree and the repair
// do.
func (s *simulation) converge(t *rapid.T) {
	data, _ := s.newest().Encode()
	s.nodes[0].applier.applyStored(data)
	for _, node := range s.nodes {
		for _, held := range []config.Digest{node.holder.Current().Digest(), {}} {
			update, err := s.nodes[0].encoder.updateFrom(held)
			if err != nil {
				t.Fatal(err)
			}
			if err := node.applier.apply(update, "parent", true); !errors.Is(err, errNeedDocument) {
				break
			}
		}
		if held := node.holder.Current().Digest(); held != s.newest().Digest() {
			t.Fatalf("a node ends at version %d instead of %d", held.Version, s.newest().Version())
		}
	}
}

// TestPublication guards invariants I1 and I3 and the final state of I9 with
// updates that are reordered, duplicated, delayed or corrupted, stale values
// from the store, restarts and several readers.
func TestPublication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{accepted: []*config.Snapshot{config.EmptySnapshot()}}
		for range 4 {
			s.nodes = append(s.nodes, newSimulatedNode())
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			index := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1:
				s.acceptChange(t)
			case 2:
				s.readStore(t, s.nodes[index])
			case 3, 4:
				s.send(t, s.nodes[index])
			case 5, 6:
				s.deliver(t, s.nodes[index])
			case 7:
				s.sendForged(t)
			case 8:
				s.nodes[index] = newSimulatedNode()
			}
			s.checkInvariants(t)
		}
		s.converge(t)
	})
}
