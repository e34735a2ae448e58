package node

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// probeInterval is the mean time between two probes during an outage. 810 nodes
// that all detected the outage make 81 calls per second together.
const probeInterval = 10 * time.Second

// closableStore is a store client with connections to close.
type closableStore interface {
	store.Client
	Close()
}

// monitoredStore forwards calls to the store and reports its outages to
// operators. A node that makes no call to the store detects no outage.
type monitoredStore struct {
	store  closableStore
	outage *storeOutage
}

var _ store.Client = (*monitoredStore)(nil)

func newMonitoredStore(client closableStore, events event.Recorder, scope tally.Scope, now func() time.Time) *monitoredStore {
	gauge := scope.SubScope("store").Gauge("outage")
	return &monitoredStore{store: client, outage: &storeOutage{events: events, gauge: gauge, now: now}}
}

// run probes the store during an outage. Without the probes a node that stops
// calling the store, such as a reader that lost its lease in the outage, would
// report the outage forever.
func (s *monitoredStore) run(ctx context.Context) error {
	for {
		timer := time.NewTimer(probeInterval/2 + time.Duration(random()*float64(probeInterval)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
			s.probe(ctx)
		}
	}
}

// probeKey is a key that does not exist, so that a probe transfers no value.
const probeKey = "probe"

// probe makes one call if an outage is ongoing.
func (s *monitoredStore) probe(ctx context.Context) {
	if s.outage.ongoing() {
		_, _ = s.Get(ctx, probeKey)
	}
}

// Close closes the idle connections.
func (s *monitoredStore) Close() { s.store.Close() }

// Get implements store.Client.
func (s *monitoredStore) Get(ctx context.Context, key string) (store.Value, error) {
	value, err := s.store.Get(ctx, key)
	s.outage.observe(ctx, err)
	return value, err
}

// GetNewer implements store.Client.
func (s *monitoredStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := s.store.GetNewer(ctx, key, known)
	s.outage.observe(ctx, err)
	return value, err
}

// CompareAndSwap implements store.Client.
func (s *monitoredStore) CompareAndSwap(ctx context.Context, key string, expected store.Revision, data []byte, lease store.LeaseID) (store.Revision, error) {
	revision, err := s.store.CompareAndSwap(ctx, key, expected, data, lease)
	s.outage.observe(ctx, err)
	return revision, err
}

// Watch implements store.Client.
func (s *monitoredStore) Watch(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := s.store.Watch(ctx, key, known)
	s.outage.observe(ctx, err)
	return value, err
}

// Grant implements store.Client.
func (s *monitoredStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	lease, err := s.store.Grant(ctx, ttl)
	s.outage.observe(ctx, err)
	return lease, err
}

// KeepAlive implements store.Client.
func (s *monitoredStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	err := s.store.KeepAlive(ctx, lease)
	s.outage.observe(ctx, err)
	return err
}

// Revoke implements store.Client.
func (s *monitoredStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	err := s.store.Revoke(ctx, lease)
	s.outage.observe(ctx, err)
	return err
}
