package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxPendingReleases limits the claims that wait for their release.
	maxPendingReleases = 1024
	// maxConcurrentReleases limits the releases in flight.
	maxConcurrentReleases = 64
	// maxReleaseAge is the age at which a release is dropped. It covers outages of
	// the store, which last longer than one call.
	maxReleaseAge = 10 * time.Minute
	// releaseRetryInterval is the pause between two attempts.
	releaseRetryInterval = time.Second
	// releaseAttemptTimeout limits the duration of one attempt.
	releaseAttemptTimeout = 5 * time.Second
)

// backgroundReleaser releases claims that may be recorded although their calls
// were refused. Without the release, a repeat with the same key would find a
// claim whose call never ran. It is safe for concurrent use.
type backgroundReleaser struct {
	release func(context.Context, Claim) error
	metrics *metrics
	wake    chan struct{}

	mu    sync.Mutex
	queue []pendingRelease
}

// pendingRelease is a claim to release and the time at which it was queued.
type pendingRelease struct {
	claim    Claim
	queuedAt time.Time
}

func newBackgroundReleaser(release func(context.Context, Claim) error, metrics *metrics) *backgroundReleaser {
	return &backgroundReleaser{release: release, metrics: metrics, wake: make(chan struct{}, 1)}
}

// add queues the release of a claim whose call was refused.
func (b *backgroundReleaser) add(claim Claim) {
	b.enqueue(pendingRelease{claim: claim, queuedAt: time.Now()})
	b.metrics.backgroundReleases.Inc(1)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *backgroundReleaser) enqueue(pending pendingRelease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxPendingReleases || time.Since(pending.queuedAt) > maxReleaseAge {
		b.metrics.droppedReleases.Inc(1)
		return
	}
	b.queue = append(b.queue, pending)
}

// run releases queued claims until the context ends.
func (b *backgroundReleaser) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		for b.releaseAll(ctx) {
			sleep(ctx, releaseRetryInterval)
		}
	}
}

// releaseAll attempts each queued release once and reports whether any remain.
func (b *backgroundReleaser) releaseAll(ctx context.Context) bool {
	b.mu.Lock()
	releases := b.queue
	b.queue = nil
	b.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReleases)
	for _, pending := range releases {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, releaseAttemptTimeout)
			defer cancel()
			if b.release(ctx, pending.claim) != nil {
				b.enqueue(pending)
			}
			return nil
		})
	}
	_ = group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) > 0 && ctx.Err() == nil
}
