package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// fleet drives several owners of one shard and checks what they grant.
type fleet struct {
	t     *rapid.T
	store *faultyStore
	now   time.Time
	logs  []*shardLog
	// busy are the owners in the middle of a commit; a frozen one stays there.
	busy map[int]bool
	next int
	// asked are the attempts whose claim may still be repeated at another owner.
	asked []Claim
	// running is the attempt that won each key and was not released.
	running map[string]Claim
	// released are the attempts whose release was asked for.
	released map[string]bool
	// unrecorded are released attempts whose release is not confirmed.
	unrecorded map[string]Claim
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t:          t,
		now:        time.UnixMilli(1e12),
		busy:       make(map[int]bool),
		running:    make(map[string]Claim),
		released:   make(map[string]bool),
		unrecorded: make(map[string]Claim),
	}
	f.store = &faultyStore{
		t:          t,
		state:      standin.NewState(f.clock),
		faults:     true,
		history:    make(map[string][]store.Value),
		interleave: f.interleave,
	}
	for range 3 {
		f.logs = append(f.logs, f.newLog())
	}
	return f
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) newLog() *shardLog {
	config := DefaultConfig("node", 1, "north")
	config.SealRecords = 5
	config.Random = func() uint64 {
		f.next++
		return uint64(f.next)
	}
	unlimited := func(context.Context) error { return nil }
	return newShardLog(0, f.store, config, f.clock, newMetrics(tally.NoopScope), unlimited)
}

// interleave runs requests at other owners while a write is on its way.
func (f *fleet) interleave() {
	for range rapid.IntRange(1, 3).Draw(f.t, "requests meanwhile") {
		f.batch()
	}
}

// step does one thing that can happen between two requests.
func (f *fleet) step() {
	switch rapid.IntRange(0, 9).Draw(f.t, "step") {
	case 0:
		f.store.deliver()
	case 1:
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(f.t, "hours")) * time.Hour)
		f.expire()
	case 2:
		owner := rapid.IntRange(0, len(f.logs)-1).Draw(f.t, "restarted owner")
		f.logs[owner] = f.newLog()
	default:
		f.batch()
	}
}

// expire forgets the attempts that the retention does not cover any more.
func (f *fleet) expire() {
	for key, claim := range f.running {
		if f.now.Sub(claim.At) > Retention {
			delete(f.running, key)
		}
	}
	// A repeat of an attempt takes seconds, never hours.
	for _, claim := range f.asked {
		if f.running[claim.Key].ID != claim.ID {
			f.released[claim.ID] = true
			f.unrecorded[claim.ID] = claim
		}
	}
	f.asked = nil
}

// batch sends some requests to an owner that is not busy.
func (f *fleet) batch() {
	owner := rapid.IntRange(0, len(f.logs)-1).Draw(f.t, "owner")
	if f.busy[owner] {
		return
	}
	f.busy[owner] = true
	defer delete(f.busy, owner)
	var batch []request
	for range rapid.IntRange(1, 3).Draw(f.t, "size") {
		batch = append(batch, f.request())
	}
	outcomes, err := f.logs[owner].commit(context.Background(), batch)
	for i, r := range batch {
		if err == nil {
			f.check(r, outcomes[i])
		}
	}
}

// request draws a new attempt, the repeat of one at another owner, or a release.
func (f *fleet) request() request {
	kind := rapid.SampledFrom([]string{"new", "new", "repeat", "release"}).Draw(f.t, "request")
	if kind == "new" || len(f.asked) == 0 {
		f.next++
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(f.t, "key")
		claim := Claim{Service: "s", Key: key, Node: "n", ID: fmt.Sprint(f.next), At: f.now}
		f.asked = append(f.asked, claim)
		return request{claim: claim}
	}
	i := rapid.IntRange(0, len(f.asked)-1).Draw(f.t, "attempt")
	claim := f.asked[i]
	if kind == "repeat" {
		return request{claim: claim}
	}
	// From here on the attempt's node never runs the call nor asks again.
	if f.running[claim.Key].ID == claim.ID {
		delete(f.running, claim.Key)
	}
	f.asked = append(f.asked[:i:i], f.asked[i+1:]...)
	f.released[claim.ID] = true
	f.unrecorded[claim.ID] = claim
	return request{claim: claim, release: true}
}

// check compares an answer with all earlier ones.
func (f *fleet) check(r request, answer outcome) {
	id, key := r.claim.ID, r.claim.Key
	if r.release {
		if answer.err == nil {
			delete(f.unrecorded, id)
		}
		return
	}
	if errors.Is(answer.err, errReleased) && f.released[id] {
		return
	}
	if errors.Is(answer.err, errSegmentMissing) && f.store.faults {
		return
	}
	if answer.err != nil {
		f.t.Fatalf("attempt %s for %s failed: %v", id, key, answer.err)
	}
	if f.released[id] {
		// Its node has given it up and ignores the answer.
		return
	}
	if !answer.holder.WonBy(id) {
		return
	}
	if other, taken := f.running[key]; taken && other.ID != id {
		f.t.Fatalf("attempt %s won key %s, which attempt %s had won", id, key, other.ID)
	}
	f.running[key] = r.claim
}

// settle ends all faults, records the releases and checks that each later
// attempt sees the winner, and that a key without one can be won.
func (f *fleet) settle() {
	f.store.faults = false
	for len(f.store.inFlight) > 0 {
		f.store.deliver()
	}
	for _, claim := range append(f.asked, mapValues(f.unrecorded)...) {
		if f.running[claim.Key].ID != claim.ID {
			f.released[claim.ID] = true
			f.commitOne(f.logs[0], request{claim: claim, release: true})
			if answer := f.commitOne(f.logs[1], request{claim: claim}); answer.holder.WonBy(claim.ID) {
				f.t.Fatalf("attempt %s won after its release", claim.ID)
			}
		}
	}
	for i, log := range append(f.logs, f.newLog()) {
		for _, key := range []string{"a", "b", "c"} {
			claim := Claim{Service: "s", Key: key, Node: "n", ID: fmt.Sprintf("last-%s-%d", key, i), At: f.now}
			holder := f.commitOne(log, request{claim: claim}).holder
			winner, won := f.running[key]
			if won && holder.ID != winner.ID {
				f.t.Fatalf("a later attempt for %s sees attempt %s, but %s won", key, holder.ID, winner.ID)
			}
			if !won && !holder.WonBy(claim.ID) && f.now.Sub(holder.At) <= Retention {
				f.t.Fatalf("nobody holds %s, but a later attempt sees attempt %s", key, holder.ID)
			}
			f.running[key] = holder
		}
	}
}

func (f *fleet) commitOne(log *shardLog, r request) outcome {
	outcomes, err := log.commit(context.Background(), []request{r})
	if err != nil {
		f.t.Fatalf("commit without faults: %v", err)
	}
	return outcomes[0]
}

func mapValues(claims map[string]Claim) []Claim {
	var values []Claim
	for _, claim := range claims {
		values = append(values, claim)
	}
	return values
}

// TestTakeOverWhileReadsFail guards against a new owner that starts over with a
// shard's sealed segments each time that a read fails, and so never serves.
func TestTakeOverWhileReadsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.store.faults = false
		f.logs[0].config.SealRecords = 1
		for i := range 30 {
			f.commitOne(f.logs[0], request{claim: Claim{Service: "s", Key: fmt.Sprint(i), Node: "n", ID: fmt.Sprint(i), At: f.now}})
		}
		f.store.faults = true
		wanted := Claim{Service: "s", Key: "0", Node: "n", ID: "late", At: f.now}
		for range 200 {
			outcomes, err := f.logs[1].commit(context.Background(), []request{{claim: wanted}})
			if err == nil && outcomes[0].err == nil {
				if outcomes[0].holder.ID != "0" {
					t.Fatalf("the new owner sees attempt %s", outcomes[0].holder.ID)
				}
				return
			}
		}
		t.Fatal("the new owner did not serve in 200 tries")
	})
}

// TestAtMostOnce guards against a key that two attempts win, or whose winner a
// later attempt does not see, with several owners at once, frozen owners, lost
// and late writes, old values, restarts, releases and expired segments.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.step()
		}
		f.settle()
	})
}
