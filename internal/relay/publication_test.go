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

// simNode is the part of a node that decides on publication.
type simNode struct {
	holder *config.Holder
	inbox  *inbox
	outbox *outbox
	last   uint64
}

func newSimNode() *simNode {
	holder := config.NewHolder()
	return &simNode{holder: holder, outbox: newOutbox(holder), inbox: &inbox{
		holder: holder, events: event.NewRing("", 2, time.Now), logger: telemetry.DiscardLogger(),
		counters: newCounters(tally.NoopScope), now: time.Now,
	}}
}

// simulation holds nodes, the versions that the store accepted and the messages
// under way.
type simulation struct {
	nodes    []*simNode
	accepted []*config.Snapshot
	messages []*controlpb.Update
}

func (s *simulation) newest() *config.Snapshot { return s.accepted[len(s.accepted)-1] }

func (s *simulation) change(t *rapid.T) {
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

// storeRead lets a node read the newest or an old value; several nodes do so,
// as two readers at once would.
func (s *simulation) storeRead(t *rapid.T, node *simNode) {
	if value := rapid.SampledFrom(s.accepted).Draw(t, "stored"); value.Version() > 0 {
		data, err := value.Encode()
		if err != nil {
			t.Fatal(err)
		}
		node.inbox.acceptStored(data)
	}
}

func (s *simulation) send(t *rapid.T, node *simNode) {
	update, err := node.outbox.updateFrom(rapid.SampledFrom(s.accepted).Draw(t, "held").Digest())
	if err != nil {
		t.Fatal(err)
	}
	s.messages = append(s.messages, update)
}

// deliver hands a message over, late, again, or damaged in any field.
func (s *simulation) deliver(t *rapid.T, node *simNode) {
	if len(s.messages) == 0 {
		return
	}
	update := rapid.SampledFrom(s.messages).Draw(t, "message")
	if rapid.Bool().Draw(t, "damaged") {
		update = damage(t, update)
	}
	_ = node.inbox.accept(update, "peer", rapid.Bool().Draw(t, "reader"))
}

func damage(t *rapid.T, update *controlpb.Update) *controlpb.Update {
	damaged := proto.Clone(update).(*controlpb.Update)
	switch field := rapid.IntRange(0, 3).Draw(t, "field"); {
	case field == 0:
		damaged.To.Version += uint64(rapid.IntRange(1, 3).Draw(t, "version"))
	case field == 1:
		damaged.To.Hash++
	case len(damaged.Delta) > 0:
		damaged.Delta[rapid.IntRange(0, len(damaged.Delta)-1).Draw(t, "byte")] ^= 1
	case len(damaged.Document) > 0:
		damaged.Document[rapid.IntRange(0, len(damaged.Document)-1).Draw(t, "byte")] ^= 1
	}
	return damaged
}

// forge sends a well-formed update whose content is not what its digest names,
// as a corruption that the decoder cannot see.
func (s *simulation) forge(t *rapid.T) {
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
	s.messages = append(s.messages, update)
}

// check guards I1 and I3: what is in force is exactly a version that the store
// accepted, and a process never goes back.
func (s *simulation) check(t *rapid.T) {
	for i, node := range s.nodes {
		held := node.holder.Current()
		if held.Version() < node.last {
			t.Fatalf("node %d went from version %d to %d", i, node.last, held.Version())
		}
		if held.Version() >= uint64(len(s.accepted)) || held.Digest() != s.accepted[held.Version()].Digest() {
			t.Fatalf("node %d holds %v, which was never accepted", i, held.Digest())
		}
		node.last = held.Version()
	}
}

// catchUp lets messages flow again, as the tree and the repair do.
func (s *simulation) catchUp(t *rapid.T) {
	data, _ := s.newest().Encode()
	s.nodes[0].inbox.acceptStored(data)
	for _, node := range s.nodes {
		for _, held := range []config.Digest{node.holder.Current().Digest(), {}} {
			update, err := s.nodes[0].outbox.updateFrom(held)
			if err != nil {
				t.Fatal(err)
			}
			if err := node.inbox.accept(update, "parent", true); !errors.Is(err, errNeedDocument) {
				break
			}
		}
		if held := node.holder.Current().Digest(); held != s.newest().Digest() {
			t.Fatalf("a node ends at version %d instead of %d", held.Version, s.newest().Version())
		}
	}
}

// TestPublication guards I1, I3 and the end state of I9 with updates that
// cross, arrive twice, late or damaged, old values from the store, restarts and
// several readers.
func TestPublication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{accepted: []*config.Snapshot{config.EmptySnapshot()}}
		for range 4 {
			s.nodes = append(s.nodes, newSimNode())
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			index := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1:
				s.change(t)
			case 2:
				s.storeRead(t, s.nodes[index])
			case 3, 4:
				s.send(t, s.nodes[index])
			case 5, 6:
				s.deliver(t, s.nodes[index])
			case 7:
				s.forge(t)
			case 8:
				s.nodes[index] = newSimNode()
			}
			s.check(t)
		}
		s.catchUp(t)
	})
}
