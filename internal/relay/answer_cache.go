package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// answerCache keeps the last answer to a question. Those who ask at the same
// time wait for one answer.
type answerCache struct {
	mu     sync.Mutex
	report *controlpb.Report
	at     time.Time
}

// get returns the kept answer when it is not older than the limit, and asks
// otherwise. Errors are not kept.
func (c *answerCache) get(ctx context.Context, now time.Time, limit time.Duration, ask func(context.Context) (*controlpb.Report, error)) (*controlpb.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.report != nil && now.Sub(c.at) < limit {
		return c.report, nil
	}
	report, err := ask(ctx)
	if err != nil {
		return nil, err
	}
	c.report, c.at = report, now
	return report, nil
}
