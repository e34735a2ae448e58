package claim

import (
	"context"
	"time"

	"pgregory.net/rapid"

	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// faultyStore is a store whose calls fail, take effect late or return stale values
// as drawn by rapid. Without faults it is a correct store.
type faultyStore struct {
	store.Client // nil: panics on calls that claims do not make.
	t            *rapid.T
	state        *standin.State
	faults       bool
	history      map[string][]store.Value
	// epoch counts the restores; a revision of an earlier epoch matches none.
	epoch store.Epoch
	// delayedWrites holds the writes that timed out and have not taken effect yet.
	delayedWrites []func()
	// interleave runs other owners while the write of a frozen owner is in transit.
	interleave func()
}

func (s *faultyStore) draw(label string, faults ...string) string {
	if !s.faults {
		return "none"
	}
	return rapid.SampledFrom(append([]string{"none", "none", "none"}, faults...)).Draw(s.t, label)
}

func (s *faultyStore) Get(_ context.Context, key string) (store.Value, error) {
	switch s.draw("read", "unavailable", "stale") {
	case "unavailable":
		return store.Value{}, store.ErrUnavailable
	case "stale":
		stale := append([]store.Value{{Epoch: s.epoch}}, s.history[key]...)
		return stale[rapid.IntRange(0, len(stale)-1).Draw(s.t, "age")], nil
	}
	return s.current(key), nil
}

// current returns the value of a key with its epoch.
func (s *faultyStore) current(key string) store.Value {
	value := s.state.Get(key)
	value.Revision, value.Epoch = s.epoch.Revision(uint64(value.Revision)), s.epoch
	return value
}

// restore brings the store back from a copy. Writes in transit are lost with the
// connections.
func (s *faultyStore) restore(from standin.Snapshot) {
	s.state.Restore(from)
	s.epoch++
	clear(s.history)
	s.delayedWrites = nil
}

func (s *faultyStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := s.Get(ctx, key)
	lost := value.Revision == 0 && value.Epoch > known.Epoch()
	if err == nil && value.Revision <= known && !lost {
		return store.Value{Revision: known, Epoch: known.Epoch()}, nil
	}
	return value, err
}

func (s *faultyStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, data []byte, lease store.LeaseID) (store.Revision, error) {
	apply := func() (store.Revision, error) {
		if !expected.In(s.epoch) {
			return 0, store.ErrConflict
		}
		revision, err := s.state.CompareAndSwap(key, store.Revision(expected.Number()), data, lease)
		if err == nil {
			s.history[key] = append(s.history[key], s.current(key))
		}
		return s.epoch.Revision(uint64(revision)), err
	}
	switch s.draw("write", "not sent", "lost request", "lost response", "late", "frozen", "frozen") {
	case "not sent":
		return 0, store.ErrNotSent
	case "lost request":
		return 0, store.ErrUnavailable
	case "lost response":
		_, _ = apply()
		return 0, store.ErrUnavailable
	case "late":
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = apply() })
		return 0, store.ErrUnavailable
	case "frozen":
		s.interleave()
	}
	return apply()
}

func (s *faultyStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.draw("grant", "unavailable") != "none" {
		return 0, store.ErrUnavailable
	}
	return s.state.Grant(ttl), nil
}

// applyDelayedWrite applies one delayed write.
func (s *faultyStore) applyDelayedWrite() {
	if len(s.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.delayedWrites)-1).Draw(s.t, "late write")
	write := s.delayedWrites[i]
	s.delayedWrites = append(s.delayedWrites[:i:i], s.delayedWrites[i+1:]...)
	write()
}
