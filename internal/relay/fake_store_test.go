package relay

import (
	"context"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// fakeStore keeps one key in memory and wakes its watches. The lease methods
// are not implemented and panic.
type fakeStore struct {
	store.Client
	mu      sync.Mutex
	value   store.Value
	changed chan struct{}
	down    bool
	// readOnly makes writes fail as if the store were away.
	readOnly bool
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) setReadOnly(readOnly bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readOnly = readOnly
}

// restore replaces the value by an earlier one, as a store does that comes back from a
// copy: the earlier revision is given out in the next epoch.
func (f *fakeStore) restore(earlier store.Value) {
	earlier.Epoch++
	earlier.Revision = earlier.Epoch.Revision(uint64(earlier.Revision))
	f.set(earlier)
}

func (f *fakeStore) set(value store.Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeStore) read() (store.Value, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.Value{}, nil, store.ErrNotSent
	}
	return f.value, f.changed, nil
}

func (f *fakeStore) Get(context.Context, string) (store.Value, error) {
	value, _, err := f.read()
	return value, err
}

func (f *fakeStore) GetNewer(ctx context.Context, key string, _ store.Revision) (store.Value, error) {
	return f.Get(ctx, key)
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ string, expected store.Revision, data []byte, _ store.LeaseID) (store.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.readOnly {
		return 0, store.ErrNotSent
	}
	if f.value.Revision != expected {
		return 0, store.ErrConflict
	}
	f.value = store.Value{Data: data, Revision: expected + 1, Epoch: expected.Epoch()}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.value.Revision, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, known store.Revision) (store.Value, error) {
	for {
		value, changed, err := f.read()
		if err != nil || value.Revision > known {
			return value, err
		}
		select {
		case <-ctx.Done():
			return store.Value{}, ctx.Err()
		case <-changed:
		}
	}
}
