package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxPendingReleases bounds the claims that wait for their release.
	maxPendingReleases = 1024
	// maxConcurrentReleases bounds the releases in flight.
	maxConcurrentReleases = 64
	// maxReleaseAge is when a release is given up; an outage of the store lasts
	// longer than one call.
	maxReleaseAge = 10 * time.Minute
	// releaseRetryInterval spaces the tries.
	releaseRetryInterval = time.Second
	// releaseAttemptTimeout bounds one try.
	releaseAttemptTimeout = 5 * time.Second
)

// backgroundReleaser releases claims that may be recorded although their calls were
// refused. Without the release a repeat with the same key would find a claim
// whose call never ran. It is safe for concurrent use.
type backgroundReleaser struct {
	release func(context.Context, Claim) error
	metrics *metrics
	added   chan struct{}

	mu      sync.Mutex
	waiting []pendingRelease
}

// pendingRelease is a claim and the time at which it was given up.
type pendingRelease struct {
	claim Claim
	since time.Time
}

func newBackgroundReleaser(release func(context.Context, Claim) error, metrics *metrics) *backgroundReleaser {
	return &backgroundReleaser{release: release, metrics: metrics, added: make(chan struct{}, 1)}
}

// add takes over a claim whose call was refused.
func (a *backgroundReleaser) add(claim Claim) {
	a.put(pendingRelease{claim: claim, since: time.Now()})
	a.metrics.backgroundReleases.Inc(1)
	select {
	case a.added <- struct{}{}:
	default:
	}
}

func (a *backgroundReleaser) put(abandoned pendingRelease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= maxPendingReleases || time.Since(abandoned.since) > maxReleaseAge {
		a.metrics.droppedReleases.Inc(1)
		return
	}
	a.waiting = append(a.waiting, abandoned)
}

// run releases the claims until the context ends.
func (a *backgroundReleaser) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.added:
		}
		for a.releaseAll(ctx) {
			sleep(ctx, releaseRetryInterval)
		}
	}
}

// releaseAll tries every waiting claim once; true when some remain.
func (a *backgroundReleaser) releaseAll(ctx context.Context) bool {
	a.mu.Lock()
	claims := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReleases)
	for _, abandoned := range claims {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, releaseAttemptTimeout)
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
