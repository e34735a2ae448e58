package measure

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// baselineChanges is the number of changes measured for the baseline.
const baselineChanges = 15

// watcher is a node of the baseline. It watches the store directly and reads the
// complete document on each change.
type watcher struct {
	mu         sync.Mutex
	receivedAt map[uint64]time.Time
}

// baseline measures the same changes with every node watching the store directly.
func (m *measurement) baseline(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchers := make([]*watcher, len(m.fleet.Hosts))
	for i, host := range m.fleet.Hosts {
		watchers[i] = &watcher{receivedAt: make(map[uint64]time.Time)}
		connection := m.options.OpenStore(m.fleet.StoreAddress(), store.NewTransport(m.fleet.Dialer(host)), telemetry.DiscardLogger(), tally.NoopScope)
		client, err := store.NewKeyed(store.Options{Timeout: time.Second}, connection, tally.NoopScope)
		if err != nil {
			return err
		}
		go watchers[i].watch(ctx, client)
	}
	time.Sleep(settleTime)
	before, err := m.controlBytes(ctx, "region/store")
	if err != nil {
		return err
	}
	var times []float64
	for i := range baselineChanges {
		elapsed, err := m.baselineChange(ctx, m.fleet.Hosts[i%len(m.fleet.Hosts)], watchers)
		if err != nil {
			return err
		}
		times = append(times, elapsed)
	}
	after, err := m.controlBytes(ctx, "region/store")
	m.print("baseline_convergence_p50_ms", percentile(times, 0.5), "ms")
	m.print("baseline_convergence_p99_ms", percentile(times, 0.99), "ms")
	m.print("baseline_bytes_per_change_across_regions", (after-before)/baselineChanges, "B")
	return err
}

func (w *watcher) watch(ctx context.Context, client store.Client) {
	var known store.Revision
	for ctx.Err() == nil {
		value, err := client.Watch(ctx, config.StoreKey, known)
		if err != nil {
			time.Sleep(changePause)
			continue
		}
		known = value.Revision
		w.mu.Lock()
		w.receivedAt[config.VersionOf(value.Data)] = time.Now()
		w.mu.Unlock()
	}
}

func (m *measurement) baselineChange(ctx context.Context, via *fleet.Host, watchers []*watcher) (float64, error) {
	version, err := m.change(ctx, via)
	if err != nil {
		return 0, err
	}
	counts, err := m.fleet.StoreCounts(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(changePause)
	var last time.Time
	for _, w := range watchers {
		w.mu.Lock()
		if w.receivedAt[version].After(last) {
			last = w.receivedAt[version]
		}
		w.mu.Unlock()
	}
	return float64(last.Sub(counts.WrittenAt["config"])) / float64(time.Millisecond), nil
}
