package claim

import (
	"context"
	"time"

	"pgregory.net/rapid"

	standin "rosemaryladder.dev/rosemaryladder/internal/standin/store"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// faultyStore is a store whose calls fail, answer late or answer old values as
// rapid draws. With faults off it is a correct store.
type faultyStore struct {
	store.Client // Panics on the calls that claims do not use.
	t            *rapid.T
	state        *standin.State
	faults       bool
	history      map[string][]store.Value
	// inFlight are writes that were given up and have not arrived yet.
	inFlight []func()
	// interleave runs other owners while a write of a frozen owner is on its way.
	interleave func()
}

func (s *faultyStore) draw(label string, faults ...string) string {
	if !s.faults {
		return "none"
	}
	return rapid.SampledFrom(append([]string{"none", "none", "none"}, faults...)).Draw(s.t, label)
}

func (s *faultyStore) Get(_ context.Context, key string) (store.Value, error) {
	switch s.draw("read", "unavailable", "old") {
	case "unavailable":
		return store.Value{}, store.ErrUnavailable
	case "old":
		old := append([]store.Value{{}}, s.history[key]...)
		return old[rapid.IntRange(0, len(old)-1).Draw(s.t, "age")], nil
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
	switch s.draw("write", "not sent", "lost request", "lost answer", "late", "frozen", "frozen") {
	case "not sent":
		return 0, store.ErrNotSent
	case "lost request":
		return 0, store.ErrUnavailable
	case "lost answer":
		_, _ = apply()
		return 0, store.ErrUnavailable
	case "late":
		s.inFlight = append(s.inFlight, func() { _, _ = apply() })
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

// deliver lets one late write arrive.
func (s *faultyStore) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "late write")
	write := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	write()
}
