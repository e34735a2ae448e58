package claim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// restoredShard is a shard in a store that comes back from a copy, with a clock that
// only the test advances.
type restoredShard struct {
	*gomega.WithT
	store  *faultyStore
	now    time.Time
	next   int
	config Config
}

func newRestoredShard(t *testing.T) *restoredShard {
	s := &restoredShard{WithT: gomega.NewWithT(t), now: time.UnixMilli(1e12), config: DefaultConfig("node", 1, "north")}
	clock := func() time.Time { return s.now }
	s.store = &faultyStore{state: standin.NewState(clock), history: make(map[string][]store.Value)}
	return s
}

func (s *restoredShard) newLog() *shardLog {
	unlimited := func(context.Context) error { return nil }
	return newShardLog(0, s.store, s.config, func() time.Time { return s.now }, newMetrics(tally.NoopScope), unlimited)
}

// newWriter returns a writer of the shard that drops its log as soon as it may.
func (s *restoredShard) newWriter(t *testing.T) *writer {
	s.config.IdleTimeout = time.Nanosecond
	w := newWriter(t.Context(), 0, s.store, s.config, func() time.Time { return s.now }, newMetrics(tally.NoopScope))
	w.limiter = rate.NewLimiter(rate.Inf, 1)
	return w
}

func (s *restoredShard) attempt(key string) Claim {
	s.next++
	return Claim{Service: "orderdesk", Key: key, Node: "n", ID: fmt.Sprintf("attempt-%d", s.next), At: s.now}
}

// submit returns the holder of the claim's key.
func (s *restoredShard) submit(log *shardLog, claim Claim) Claim {
	outcomes, err := log.commit(context.Background(), []request{{claim: claim}})
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(outcomes[0].err).NotTo(gomega.HaveOccurred())
	return outcomes[0].holder
}

// claim returns the claim of a new attempt, which must be granted.
func (s *restoredShard) claim(log *shardLog, key string) Claim {
	claim := s.attempt(key)
	s.Expect(s.submit(log, claim).ID).To(gomega.Equal(claim.ID), "holder of "+key)
	return claim
}

// expectHolder expects that a new attempt does not get the key.
func (s *restoredShard) expectHolder(log *shardLog, holder Claim) {
	s.Expect(s.submit(log, s.attempt(holder.Key)).ID).To(gomega.Equal(holder.ID), "holder of "+holder.Key)
}

func (s *restoredShard) release(log *shardLog, claim Claim) {
	_, err := log.commit(context.Background(), []request{{claim: claim, release: true}})
	s.Expect(err).NotTo(gomega.HaveOccurred())
}

func (s *restoredShard) check(log *shardLog) {
	s.Expect(log.check(context.Background())).To(gomega.Succeed())
}

func (s *restoredShard) head() shardValue {
	value, err := decodeShard(s.store.current(headKey(0)).Data)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return value
}

// TestOwnersOfAShardMergeTheirRecords guards against a holder that depends on which of
// two owners with different records is the first to write after a restore, and against
// records that are written more than once.
func TestOwnersOfAShardMergeTheirRecords(t *testing.T) {
	for _, newerFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("newer first %t", newerFirst), func(t *testing.T) {
			s := newRestoredShard(t)
			older, newer := s.newLog(), s.newLog()
			copied := s.store.state.Snapshot()
			first := s.claim(older, "order")
			s.release(newer, first)
			second := s.claim(newer, "order")
			s.store.restore(copied)
			for range 2 {
				if newerFirst {
					s.check(newer)
				}
				s.check(older)
				s.check(newer)
			}
			s.Expect(s.head().records).To(gomega.HaveLen(3))
			for _, log := range []*shardLog{older, newer, s.newLog()} {
				s.expectHolder(log, second)
			}
		})
	}
}

// TestMergedClaimIsNotGrantedBesideTheHolder guards against an attempt that is granted
// by its earlier record although an owner without that record has granted its key since,
// and against a key that is free while one of the two claims is in force.
func TestMergedClaimIsNotGrantedBesideTheHolder(t *testing.T) {
	s := newRestoredShard(t)
	copied := s.store.state.Snapshot()
	earlier := s.newLog()
	before := s.claim(earlier, "order")
	s.store.restore(copied)
	after := s.claim(s.newLog(), "order")
	s.Expect(s.submit(earlier, before).ID).To(gomega.Equal(after.ID))
	s.release(earlier, after)
	s.expectHolder(earlier, before)
	s.release(earlier, before)
	s.claim(earlier, "order")
}

// TestReleaseIsKeptAfterARestore guards against a repeat that is refused because the
// store came back with the claim of an attempt but without its release.
func TestReleaseIsKeptAfterARestore(t *testing.T) {
	s := newRestoredShard(t)
	owner := s.newLog()
	released := s.claim(owner, "order")
	copied := s.store.state.Snapshot()
	s.release(owner, released)
	s.store.restore(copied)
	repeat := s.claim(owner, "order")
	s.expectHolder(s.newLog(), repeat)
}

// TestSealedClaimIsKeptAfterARestore guards against a key that is granted twice because
// the copy lacks the sealed segment with its claim, both at the owner that has sealed it
// and at one that has read it.
func TestSealedClaimIsKeptAfterARestore(t *testing.T) {
	for _, reader := range []bool{false, true} {
		t.Run(fmt.Sprintf("reader %t", reader), func(t *testing.T) {
			s := newRestoredShard(t)
			s.config.SealRecords = 2
			owner := s.newLog()
			copied := s.store.state.Snapshot()
			var claims []Claim
			for i := range 7 {
				claims = append(claims, s.claim(owner, fmt.Sprint("order-", i)))
			}
			if reader {
				owner = s.newLog()
				s.check(owner)
			}
			s.store.restore(copied)
			for _, log := range []*shardLog{owner, s.newLog()} {
				for _, claim := range claims {
					s.expectHolder(log, claim)
				}
			}
		})
	}
}

// TestLostSegmentWithoutRecordsIsRefused guards against a key that is granted twice
// because the store came back without a segment of which the owner knows only the index.
func TestLostSegmentWithoutRecordsIsRefused(t *testing.T) {
	s := newRestoredShard(t)
	s.config.SealRecords = 1
	copied := s.store.state.Snapshot()
	sealer := s.newLog()
	s.claim(sealer, "order")
	s.claim(sealer, "another")
	s.now = s.now.Add(maxCopyAge + maxClockSkew)
	owner := s.newLog()
	s.check(owner)
	s.store.restore(copied)
	outcomes, err := owner.commit(context.Background(), []request{{claim: s.attempt("order")}})
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(errors.Is(outcomes[0].err, errSegmentMissing)).To(gomega.BeTrue(), "got %v", outcomes[0].err)
	s.claim(owner, "new")
	s.now = s.now.Add(maxCopyAge)
	s.check(owner)
	s.Expect(owner.canBeDropped()).To(gomega.BeFalse(), "the index must be kept")
	s.now = s.now.Add(Retention + time.Hour)
	s.claim(owner, "order")
	s.now = s.now.Add(maxCopyAge)
	s.check(owner)
	s.Expect(owner.canBeDropped()).To(gomega.BeTrue())
}

// TestMergeAboveTheLimits guards against lost records that do not fit into one head and
// therefore block the shard or exceed the value limit of the store.
func TestMergeAboveTheLimits(t *testing.T) {
	s := newRestoredShard(t)
	owner := s.newLog()
	copied := s.store.state.Snapshot()
	var claims []Claim
	for i := range 20 {
		var batch []request
		for j := range 300 {
			claim := s.attempt(fmt.Sprintf("order-%d-%d-%s", i, j, strings.Repeat("k", 200)))
			batch = append(batch, request{claim: claim})
			claims = append(claims, claim)
		}
		_, err := owner.commit(context.Background(), batch)
		s.Expect(err).NotTo(gomega.HaveOccurred())
	}
	s.store.restore(copied)
	s.check(owner)
	for key, size := range s.store.state.Keys() {
		s.Expect(size).To(gomega.BeNumerically("<=", DefaultSealBytes+2*maxBatchBytes), key)
	}
	successor := s.newLog()
	for i := 0; i < len(claims); i += 97 {
		s.expectHolder(successor, claims[i])
	}
	s.claim(successor, "new")
}

// lostResponses is a store whose next write takes effect without a response.
type lostResponses struct {
	*faultyStore
	lose bool
}

func (s *lostResponses) CompareAndSwap(ctx context.Context, key string, expected store.Revision, data []byte, lease store.LeaseID) (store.Revision, error) {
	revision, err := s.faultyStore.CompareAndSwap(ctx, key, expected, data, lease)
	if s.lose {
		s.lose = false
		return 0, store.ErrUnavailable
	}
	return revision, err
}

// TestLostResponseBeforeARestore guards against a claim that counts as recorded, or a
// key that is granted twice, because the response to its write was lost and the store
// came back without it.
func TestLostResponseBeforeARestore(t *testing.T) {
	s := newRestoredShard(t)
	owner := s.newLog()
	s.claim(owner, "other")
	copied := s.store.state.Snapshot()
	client := &lostResponses{faultyStore: s.store, lose: true}
	owner.client = client
	refused := s.attempt("order")
	owner.permitted = true
	appended := []record{{claim: refused}}
	done, err := owner.tryWrite(context.Background(), appended)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(done).To(gomega.BeFalse())
	s.store.restore(copied)
	granted := s.claim(owner, "order")
	s.Expect(s.submit(owner, refused).ID).To(gomega.Equal(granted.ID))
	s.expectHolder(s.newLog(), granted)
}

// TestSegmentNumberGivenOutAgain guards against claims that are not found because the
// number of a segment that the store has lost belongs to another segment since.
func TestSegmentNumberGivenOutAgain(t *testing.T) {
	s := newRestoredShard(t)
	s.config.SealRecords = 1
	s.config.Random = func() uint64 { return 7 }
	copied := s.store.state.Snapshot()
	earlier, later := s.newLog(), s.newLog()
	before := []Claim{s.claim(earlier, "order-1"), s.claim(earlier, "order-2")}
	s.store.restore(copied)
	after := []Claim{s.claim(later, "order-3"), s.claim(later, "order-4")}
	s.config.Random = func() uint64 { return 8 }
	earlier.config = s.config
	for _, log := range []*shardLog{earlier, s.newLog()} {
		for _, claim := range append(before, after...) {
			s.expectHolder(log, claim)
		}
	}
}

// TestOverwrittenHeadIsMerged guards against records that are lost within an epoch: an
// owner that has not heard of the restore expects a revision that was given out again,
// and its head replaces the one of another owner and names a segment that is lost.
func TestOverwrittenHeadIsMerged(t *testing.T) {
	s := newRestoredShard(t)
	s.config.SealRecords = 1
	copied := s.store.state.Snapshot()
	earlier, later := s.newLog(), s.newLog()
	before := []Claim{s.claim(earlier, "order-1"), s.claim(earlier, "order-2")}
	overwriting := s.store.current(headKey(0)).Data
	s.store.restore(copied)
	after := []Claim{s.claim(later, "order-3"), s.claim(later, "order-4")}
	s.store.state.Write(headKey(0), overwriting)
	s.check(earlier)
	for _, log := range []*shardLog{later, earlier, s.newLog()} {
		for _, claim := range append(after, before...) {
			s.expectHolder(log, claim)
		}
	}
}

// submitTo returns the holder of a key after a new attempt at a writer.
func (s *restoredShard) submitTo(w *writer, key string) Claim {
	res, _ := w.submit(context.Background(), request{claim: s.attempt(key)})
	s.Expect(res.err).NotTo(gomega.HaveOccurred())
	return res.holder
}

// TestIdleLogIsKeptWhileRecordsMayBeLost guards against a key that is granted twice
// because its owner has dropped its records as idle before the store came back.
func TestIdleLogIsKeptWhileRecordsMayBeLost(t *testing.T) {
	s := newRestoredShard(t)
	w := s.newWriter(t)
	copied := s.store.state.Snapshot()
	holder := s.submitTo(w, "order")
	time.Sleep(100 * time.Millisecond)
	s.store.restore(copied)
	s.Expect(s.submitTo(w, "order").ID).To(gomega.Equal(holder.ID))
}

// TestIdleOwnerWritesLostRecordsAgain guards against a key that another owner grants
// again because the owner that knows its claim writes lost records only with its next
// request.
func TestIdleOwnerWritesLostRecordsAgain(t *testing.T) {
	s := newRestoredShard(t)
	w := s.newWriter(t)
	copied := s.store.state.Snapshot()
	holder := s.submitTo(w, "order")
	s.store.restore(copied)
	s.Eventually(s.store.state.Keys, minCheckPause+2*time.Second).Should(gomega.HaveKey(headKey(0)))
	s.expectHolder(s.newLog(), holder)
}
