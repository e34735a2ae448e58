package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// outageThreshold is the number of consecutive failed calls that count as an
// outage. A single lost response does not.
const outageThreshold = 3

// storeOutage records the start and the end of each store outage once, no matter
// how many calls fail. It is safe for concurrent use.
type storeOutage struct {
	events event.Recorder
	gauge  tally.Gauge
	now    func() time.Time

	mu sync.Mutex
	// since is the time of the first failure after the last response.
	since    time.Time
	failures int
}

// observe records the result of one call. A call that its caller cancelled does
// not count, because it says nothing about the store.
func (o *storeOutage) observe(ctx context.Context, err error) {
	switch {
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrNotSent):
		if ctx.Err() == nil {
			o.recordFailure(err)
		}
	case ctx.Err() == nil:
		o.recordResponse()
	}
}

func (o *storeOutage) recordFailure(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	if o.failures == 1 {
		o.since = o.now()
	}
	if o.failures != outageThreshold {
		return
	}
	o.gauge.Update(1)
	o.events.Record(event.Event{Kind: event.KindStore, Subject: "store", Message: fmt.Sprintf("the store does not answer since %s: %v", o.since.Format(time.RFC3339), err), Code: result.StoreUnavailable})
}

// ongoing reports whether an outage has started and not ended.
func (o *storeOutage) ongoing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures >= outageThreshold
}

func (o *storeOutage) recordResponse() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures >= outageThreshold {
		o.gauge.Update(0)
		o.events.Record(event.Event{Kind: event.KindStore, Subject: "store", Message: fmt.Sprintf("the store answers again after %s; %d calls failed", o.now().Sub(o.since).Round(time.Millisecond), o.failures)})
	}
	o.failures = 0
}
