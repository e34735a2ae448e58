package node

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// probeInterval is the mean time between two probes during an outage. 810 nodes
// that all noticed the outage make 81 calls a second together.
const probeInterval = 10 * time.Second

// closableStore is a store client with connections to close.
type closableStore interface {
	store.Client
	Close()
}

// storeWatch passes calls on to the store and tells its outages to operators. A
// node that makes no call to the store notices none.
type storeWatch struct {
	store  closableStore
	outage *storeOutage
}

var _ store.Client = (*storeWatch)(nil)

func newStoreWatch(client closableStore, events event.Recorder, scope tally.Scope, now func() time.Time) *storeWatch {
	gauge := scope.SubScope("store").Gauge("outage")
	return &storeWatch{store: client, outage: &storeOutage{events: events, gauge: gauge, now: now}}
}

// run asks the store from time to time while an outage lasts. Without that a
// node that stops calling the store, such as a reader that lost its lease in the
// outage, would report the outage for ever.
func (w *storeWatch) run(ctx context.Context) error {
	for {
		timer := time.NewTimer(probeInterval/2 + time.Duration(random()*float64(probeInterval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			w.probe(ctx)
		}
	}
}

// probeKey does not exist, so that a probe transfers no value.
const probeKey = "probe"

// probe makes one call.
func (w *storeWatch) probe(ctx context.Context) {
	if w.outage.lasts() {
		_, _ = w.Get(ctx, probeKey)
	}
}

// Close closes the idle connections.
func (w *storeWatch) Close() { w.store.Close() }

// Get implements store.Client.
func (w *storeWatch) Get(ctx context.Context, key string) (store.Value, error) {
	value, err := w.store.Get(ctx, key)
	w.outage.note(ctx, err)
	return value, err
}

// GetNewer implements store.Client.
func (w *storeWatch) GetNewer(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := w.store.GetNewer(ctx, key, known)
	w.outage.note(ctx, err)
	return value, err
}

// CompareAndSwap implements store.Client.
func (w *storeWatch) CompareAndSwap(ctx context.Context, key string, expected store.Revision, data []byte, lease store.LeaseID) (store.Revision, error) {
	revision, err := w.store.CompareAndSwap(ctx, key, expected, data, lease)
	w.outage.note(ctx, err)
	return revision, err
}

// Watch implements store.Client.
func (w *storeWatch) Watch(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := w.store.Watch(ctx, key, known)
	w.outage.note(ctx, err)
	return value, err
}

// Grant implements store.Client.
func (w *storeWatch) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lease, err := w.store.Grant(ctx, ttl)
	w.outage.note(ctx, err)
	return lease, err
}

// KeepAlive implements store.Client.
func (w *storeWatch) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	err := w.store.KeepAlive(ctx, lease)
	w.outage.note(ctx, err)
	return err
}

// Revoke implements store.Client.
func (w *storeWatch) Revoke(ctx context.Context, lease store.LeaseID) error {
	err := w.store.Revoke(ctx, lease)
	w.outage.note(ctx, err)
	return err
}
