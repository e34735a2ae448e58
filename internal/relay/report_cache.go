package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// reportCache keeps the last report that was fetched. Concurrent callers share
// one fetch.
type reportCache struct {
	mu        sync.Mutex
	report    *controlpb.Report
	fetchedAt time.Time
}

// get returns the cached report when it is younger than maxAge, and fetches a
// new one otherwise. Errors are not cached.
func (c *reportCache) get(ctx context.Context, now time.Time, maxAge time.Duration, fetch func(context.Context) (*controlpb.Report, error)) (*controlpb.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.report != nil && now.Sub(c.fetchedAt) < maxAge {
		return c.report, nil
	}
	report, err := fetch(ctx)
	if err != nil {
		return nil, err
	}
	c.report, c.fetchedAt = report, now
	return report, nil
}
