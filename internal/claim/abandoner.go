package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxAbandoned bounds the claims that wait for their release.
	maxAbandoned = 1024
	// abandonedAtOnce bounds the releases in flight.
	abandonedAtOnce = 64
	// abandonedAge is when a release is given up; an outage of the store lasts
	// longer than one call.
	abandonedAge = 10 * time.Minute
	// abandonedPause spaces the tries.
	abandonedPause = time.Second
	// abandonedTimeout bounds one try.
	abandonedTimeout = 5 * time.Second
)

// abandoner releases claims that may be recorded although their calls were
// refused. Without the release a repeat with the same key would find a claim
// whose call never ran. It is safe for concurrent use.
type abandoner struct {
	release func(context.Context, Claim) error
	metrics *metrics
	added   chan struct{}

	mu      sync.Mutex
	waiting []abandonedClaim
}

// abandonedClaim is a claim and the time at which it was given up.
type abandonedClaim struct {
	claim Claim
	since time.Time
}

func newAbandoner(release func(context.Context, Claim) error, metrics *metrics) *abandoner {
	return &abandoner{release: release, metrics: metrics, added: make(chan struct{}, 1)}
}

// add takes over a claim whose call was refused.
func (a *abandoner) add(claim Claim) {
	a.put(abandonedClaim{claim: claim, since: time.Now()})
	a.metrics.abandoned.Inc(1)
	select {
	case a.added <- struct{}{}:
	default:
	}
}

func (a *abandoner) put(abandoned abandonedClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= maxAbandoned || time.Since(abandoned.since) > abandonedAge {
		a.metrics.abandonedDropped.Inc(1)
		return
	}
	a.waiting = append(a.waiting, abandoned)
}

// run releases the claims until the context ends.
func (a *abandoner) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.added:
		}
		for a.releaseAll(ctx) {
			wait(ctx, abandonedPause)
		}
	}
}

// releaseAll tries every waiting claim once; true when some remain.
func (a *abandoner) releaseAll(ctx context.Context) bool {
	a.mu.Lock()
	claims := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(abandonedAtOnce)
	for _, abandoned := range claims {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, abandonedTimeout)
			defer cancel()
			if a.release(ctx, abandoned.claim) != nil {
				a.put(abandoned)
			}
			return nil
		})
	}
	_ = group.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) > 0 && ctx.Err() == nil
}
