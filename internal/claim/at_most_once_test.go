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

// simulation runs several owners of one shard and checks the claims that they
// grant.
type simulation struct {
	t     *rapid.T
	store *faultyStore
	now   time.Time
	logs  []*shardLog
	// busy holds the owners that are in the middle of a commit, such as a frozen one.
	busy map[int]bool
	next int
	// copied is the latest copy of the store; nil when it is older than maxCopyAge.
	copied *standin.Snapshot
	// merging is set while an owner writes what a restored store has lost.
	merging bool
	// retryable holds the attempts whose claim may still be retried at another owner.
	retryable []Claim
	// running holds the granted claim of each key until it is released.
	running map[string]Claim
	// released holds the ids of the attempts whose release was requested.
	released map[string]bool
	// unconfirmed holds the released attempts whose release is not confirmed.
	unconfirmed map[string]Claim
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:           t,
		now:         time.UnixMilli(1e12),
		busy:        make(map[int]bool),
		running:     make(map[string]Claim),
		released:    make(map[string]bool),
		unconfirmed: make(map[string]Claim),
	}
	s.store = &faultyStore{
		t:          t,
		state:      standin.NewState(s.clock),
		faults:     true,
		history:    make(map[string][]store.Value),
		interleave: s.interleave,
	}
	for range 3 {
		s.logs = append(s.logs, s.newLog())
	}
	return s
}

func (s *simulation) clock() time.Time { return s.now }

func (s *simulation) newLog() *shardLog {
	config := DefaultConfig("node", 1, "north")
	config.SealRecords = 5
	config.Random = func() uint64 {
		s.next++
		return uint64(s.next)
	}
	unlimited := func(context.Context) error { return nil }
	return newShardLog(0, s.store, config, s.clock, newMetrics(tally.NoopScope), unlimited)
}

// interleave runs requests at other owners while a write is in transit.
func (s *simulation) interleave() {
	if s.merging {
		return
	}
	for range rapid.IntRange(1, 3).Draw(s.t, "concurrent requests") {
		s.batch()
	}
}

// step runs one event: a batch of requests, the delivery of a delayed write, the
// passage of time, the restart of an owner, a copy of the store or its restore.
func (s *simulation) step() {
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 10:
		copied := s.store.state.Snapshot()
		s.copied = &copied
	case 11:
		s.restore()
	case 0:
		s.store.applyDelayedWrite()
	case 1:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(s.t, "hours")) * time.Hour)
		s.copied = nil
		s.expire()
	case 2:
		owner := rapid.IntRange(0, len(s.logs)-1).Draw(s.t, "restarted owner")
		s.logs[owner] = s.newLog()
	default:
		s.batch()
	}
}

// restore brings the store back from the latest copy. One owner that knows all records
// survives and is the first to reach the store; the others survive with what they know
// or restart.
func (s *simulation) restore() {
	if s.copied == nil {
		return
	}
	survivor := rapid.IntRange(0, len(s.logs)-1).Draw(s.t, "surviving owner")
	s.store.faults = false
	if err := s.logs[survivor].check(context.Background()); err != nil {
		s.t.Fatalf("check without store faults: %v", err)
	}
	s.store.faults = true
	s.store.restore(*s.copied)
	for owner := range s.logs {
		if owner != survivor && rapid.Bool().Draw(s.t, "restarts") {
			s.logs[owner] = s.newLog()
		}
	}
	s.merging = true
	defer func() { s.merging = false }()
	for range 100 {
		if s.logs[survivor].check(context.Background()) == nil {
			return
		}
	}
	s.t.Fatal("the surviving owner did not write the lost records again in 100 attempts")
}

// expire removes the attempts whose retention has elapsed.
func (s *simulation) expire() {
	for key, claim := range s.running {
		if s.now.Sub(claim.At) > Retention {
			delete(s.running, key)
		}
	}
	// An attempt is retried within seconds, never after hours.
	for _, claim := range s.retryable {
		if s.running[claim.Key].ID != claim.ID {
			s.released[claim.ID] = true
			s.unconfirmed[claim.ID] = claim
		}
	}
	s.retryable = nil
}

// batch sends a batch of requests to an owner unless it is busy.
func (s *simulation) batch() {
	owner := rapid.IntRange(0, len(s.logs)-1).Draw(s.t, "owner")
	if s.busy[owner] {
		return
	}
	s.busy[owner] = true
	defer delete(s.busy, owner)
	var batch []request
	for range rapid.IntRange(1, 3).Draw(s.t, "size") {
		batch = append(batch, s.request())
	}
	outcomes, err := s.logs[owner].commit(context.Background(), batch)
	for i, r := range batch {
		if err == nil {
			s.check(r, outcomes[i])
		}
	}
}

// request draws a new attempt, the retry of one, possibly at another owner, or a
// release.
func (s *simulation) request() request {
	kind := rapid.SampledFrom([]string{"new", "new", "retry", "release"}).Draw(s.t, "request")
	if kind == "new" || len(s.retryable) == 0 {
		s.next++
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "key")
		claim := Claim{Service: "s", Key: key, Node: "n", ID: fmt.Sprint(s.next), At: s.now}
		s.retryable = append(s.retryable, claim)
		return request{claim: claim}
	}
	i := rapid.IntRange(0, len(s.retryable)-1).Draw(s.t, "attempt")
	claim := s.retryable[i]
	if kind == "retry" {
		return request{claim: claim}
	}
	// From here on the node of the attempt neither runs the call nor retries the
	// claim.
	if s.running[claim.Key].ID == claim.ID {
		delete(s.running, claim.Key)
	}
	s.retryable = append(s.retryable[:i:i], s.retryable[i+1:]...)
	s.released[claim.ID] = true
	s.unconfirmed[claim.ID] = claim
	return request{claim: claim, release: true}
}

// check compares the outcome of a request with all earlier ones.
func (s *simulation) check(r request, res outcome) {
	id, key := r.claim.ID, r.claim.Key
	if r.release {
		if res.err == nil {
			delete(s.unconfirmed, id)
		}
		return
	}
	if errors.Is(res.err, errReleased) && s.released[id] {
		return
	}
	if errors.Is(res.err, errSegmentMissing) && s.store.faults {
		return
	}
	if res.err != nil {
		s.t.Fatalf("attempt %s for key %s failed: %v", id, key, res.err)
	}
	if s.released[id] {
		// Its node has released its claim and ignores the outcome.
		return
	}
	if !res.holder.WonBy(id) {
		return
	}
	if holder, held := s.running[key]; held && holder.ID != id {
		s.t.Fatalf("key %s was granted to attempt %s although attempt %s holds it", key, id, holder.ID)
	}
	s.running[key] = r.claim
}

// checkFinalState ends all faults, records the releases and checks that each later
// attempt gets the granted claim of its key, and that a key without one can be
// claimed.
func (s *simulation) checkFinalState() {
	s.store.faults = false
	for len(s.store.delayedWrites) > 0 {
		s.store.applyDelayedWrite()
	}
	for _, claim := range append(s.retryable, mapValues(s.unconfirmed)...) {
		if s.running[claim.Key].ID != claim.ID {
			s.released[claim.ID] = true
			s.commitOne(s.logs[0], request{claim: claim, release: true})
			if res := s.commitOne(s.logs[1], request{claim: claim}); res.holder.WonBy(claim.ID) {
				s.t.Fatalf("attempt %s was granted after its release", claim.ID)
			}
		}
	}
	for i, log := range append(s.logs, s.newLog()) {
		for _, key := range []string{"a", "b", "c"} {
			claim := Claim{Service: "s", Key: key, Node: "n", ID: fmt.Sprintf("last-%s-%d", key, i), At: s.now}
			holder := s.commitOne(log, request{claim: claim}).holder
			granted, held := s.running[key]
			if held && holder.ID != granted.ID {
				s.t.Fatalf("a later attempt for key %s got the claim of attempt %s, want that of attempt %s", key, holder.ID, granted.ID)
			}
			if !held && !holder.WonBy(claim.ID) && s.now.Sub(holder.At) <= Retention {
				s.t.Fatalf("no attempt holds key %s, but a later attempt got the claim of attempt %s", key, holder.ID)
			}
			s.running[key] = holder
		}
	}
}

func (s *simulation) commitOne(log *shardLog, r request) outcome {
	outcomes, err := log.commit(context.Background(), []request{r})
	if err != nil {
		s.t.Fatalf("commit without store faults: %v", err)
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

// TestTakeoverWhileReadsFail guards against a new owner that reads all sealed
// segments of a shard again after each failed read and therefore never serves it.
func TestTakeoverWhileReadsFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.store.faults = false
		s.logs[0].config.SealRecords = 1
		for i := range 30 {
			s.commitOne(s.logs[0], request{claim: Claim{Service: "s", Key: fmt.Sprint(i), Node: "n", ID: fmt.Sprint(i), At: s.now}})
		}
		s.store.faults = true
		requested := Claim{Service: "s", Key: "0", Node: "n", ID: "late", At: s.now}
		for range 200 {
			outcomes, err := s.logs[1].commit(context.Background(), []request{{claim: requested}})
			if err == nil && outcomes[0].err == nil {
				if outcomes[0].holder.ID != "0" {
					t.Fatalf("the new owner returned the claim of attempt %s, want attempt 0", outcomes[0].holder.ID)
				}
				return
			}
		}
		t.Fatal("the new owner did not serve the shard in 200 attempts")
	})
}

// TestAtMostOnce guards against a key that is granted to two attempts, and against
// a granted claim that a later attempt does not get, with several concurrent
// owners, frozen owners, lost and late writes, stale reads, restarts, releases,
// expired segments and restores of the store from a copy.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
		s.checkFinalState()
	})
}
