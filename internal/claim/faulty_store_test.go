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
		stale := append([]store.Value{{}}, s.history[key]...)
		return stale[rapid.IntRange(0, len(stale)-1).Draw(s.t, "age")], nil
	}
	return s.state.Get(key), nil
}

func (s *faultyStore) GetNewer(ctx context.Context, key string, known store.Revision) (store.Value, error) {
	value, err := s.Get(ctx, key)
	if err == nil && value.Revision <= known {
		return store.Value{Revision: known}, nil
	}
	return value, err
}

func (s *faultyStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, data []byte, lease store.LeaseID) (store.Revision, error) {
	apply := func() (store.Revision, error) {
		revision, err := s.state.CompareAndSwap(key, expected, data, lease)
		if err == nil {
			s.history[key] = append(s.history[key], s.state.Get(key))
		}
		return revision, err
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
