package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// reportCache keeps the last answer to a question. Those who ask at the same
// time wait for one answer.
type reportCache struct {
	mu        sync.Mutex
	report    *controlpb.Report
	fetchedAt time.Time
}

// get returns the kept answer when it is not older than the limit, and asks
// otherwise. Errors are not kept.
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
