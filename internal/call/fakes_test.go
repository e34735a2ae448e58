package call

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// fixedSnapshot is a configuration that never changes.
type fixedSnapshot struct{ snapshot *config.Snapshot }

func (f fixedSnapshot) Load() *config.Snapshot { return f.snapshot }

// fakeChooser picks a random node that was not tried; without one it picks none.
type fakeChooser struct{}

func (fakeChooser) Choose(view *member.View, _ []config.Stop, request route.Request) (member.Record, bool) {
	var usable []member.Record
	for _, record := range view.Servers(request.Target.Service) {
		if !slices.Contains(request.Excluded, record.ID) {
			usable = append(usable, record)
		}
	}
	if len(usable) == 0 {
		return member.Record{}, false
	}
	return usable[request.Random%uint64(len(usable))], true
}

func (fakeChooser) Observe(string, time.Time, route.Outcome) {}

// fakePolicy allows a fixed number of attempts.
type fakePolicy struct{ attempts int }

func (fakePolicy) RecordFirstAttempt()               {}
func (p fakePolicy) AllowRetry(failure Failure) bool { return failure.Attempt < p.attempts }

// fakeAdmit is a bounded number of slots.
type fakeAdmit struct{ slots chan struct{} }

func (a fakeAdmit) Acquire(ctx context.Context, _ config.Priority) (func(), error) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.DeadlineNotRun, "no slot became free")
	}
}

func (a fakeAdmit) AcquireWithin(ctx context.Context, priority config.Priority, _ time.Time) (func(), error) {
	return a.Acquire(ctx, priority)
}

func (a fakeAdmit) ServerRefused() {}

func (a fakeAdmit) Load() (int, int, int) { return len(a.slots), cap(a.slots), 0 }

// fakeClaims keeps claims and answers in memory for a whole fleet.
type fakeClaims struct {
	mu     sync.Mutex
	claims map[string]claim.Claim
	kept   map[string]keptAnswer
}

type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{claims: make(map[string]claim.Claim), kept: make(map[string]keptAnswer)}
}

func (c *fakeClaims) Claim(_ context.Context, wanted claim.Claim) (claim.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.claims[wanted.Key]; ok {
		return found, nil
	}
	c.claims[wanted.Key] = wanted
	return wanted, nil
}

func (c *fakeClaims) Release(_ context.Context, won claim.Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claims, won.Key)
	return nil
}

// nodeKept is the part of the kept answers that one node holds.
type nodeKept struct {
	claims *fakeClaims
	node   string
}

func (k nodeKept) Retain(_, key string, _ uint64, status int, header http.Header, body []byte) {
	k.claims.mu.Lock()
	defer k.claims.mu.Unlock()
	k.claims.kept[k.node+key] = keptAnswer{status, header, slices.Clone(body)}
}

func (k nodeKept) Lookup(_, key string, _ uint64) (int, http.Header, []byte, bool) {
	k.claims.mu.Lock()
	defer k.claims.mu.Unlock()
	found, ok := k.claims.kept[k.node+key]
	return found.status, found.header, found.body, ok
}

// fakeQuarantine counts crashed servers by fingerprint for a whole fleet.
type fakeQuarantine struct {
	mu      sync.Mutex
	crashed map[uint64]int
}

func (q *fakeQuarantine) IsBlocked(_ string, fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashed[fingerprint] >= 2
}

func (q *fakeQuarantine) RecordCrash(_ string, fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashed[fingerprint]++
}

type fakeBurn struct{}

func (fakeBurn) Record(string, time.Duration, bool) {}
