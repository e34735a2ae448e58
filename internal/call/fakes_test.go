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

// fixedSnapshot provides a configuration that never changes.
type fixedSnapshot struct{ snapshot *config.Snapshot }

func (f fixedSnapshot) Load() *config.Snapshot { return f.snapshot }

// fakeChooser chooses a random node that was not tried yet.
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

// fakeAdmitter admits calls to a fixed number of slots.
type fakeAdmitter struct{ slots chan struct{} }

func (a fakeAdmitter) Acquire(ctx context.Context, _ config.Priority) (func(), error) {
	select {
	case a.slots <- struct{}{}:
		return func() { <-a.slots }, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.DeadlineNotRun, "no slot became free")
	}
}

func (a fakeAdmitter) AcquireWithin(ctx context.Context, priority config.Priority, _ time.Time) (func(), error) {
	return a.Acquire(ctx, priority)
}

func (a fakeAdmitter) ServerRefused() {}

func (a fakeAdmitter) Load() (int, int, int) { return len(a.slots), cap(a.slots), 0 }

// fakeClaims stores the claims and retained responses of all nodes in memory.
type fakeClaims struct {
	mu        sync.Mutex
	claims    map[string]claim.Claim
	responses map[string]retainedResponse
}

type retainedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{claims: make(map[string]claim.Claim), responses: make(map[string]retainedResponse)}
}

func (c *fakeClaims) Claim(_ context.Context, proposed claim.Claim) (claim.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.claims[proposed.Key]; ok {
		return existing, nil
	}
	c.claims[proposed.Key] = proposed
	return proposed, nil
}

func (c *fakeClaims) Release(_ context.Context, held claim.Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claims, held.Key)
	return nil
}

// nodeResponses holds the retained responses of one node.
type nodeResponses struct {
	claims *fakeClaims
	node   string
}

func (r nodeResponses) Retain(_, key string, _ uint64, status int, header http.Header, body []byte) {
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	r.claims.responses[r.node+key] = retainedResponse{status, header, slices.Clone(body)}
}

func (r nodeResponses) Lookup(_, key string, _ uint64) (int, http.Header, []byte, bool) {
	r.claims.mu.Lock()
	defer r.claims.mu.Unlock()
	resp, ok := r.claims.responses[r.node+key]
	return resp.status, resp.header, resp.body, ok
}

// fakeQuarantine counts crashed servers by fingerprint for all nodes.
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
