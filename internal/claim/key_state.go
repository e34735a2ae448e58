package claim

import "github.com/pkg/errors"

// errReleased means that the claim of the attempt was released, after which it
// can never be granted again.
var errReleased = errors.New("the claim was already released")

// keyState is the state of one key: the claim in force, if any, and the ids of
// the released claims.
type keyState struct {
	holder   *Claim
	released map[string]bool
}

// newKeyState replays the records of one key, oldest first.
func newKeyState(records []record) *keyState {
	state := &keyState{released: make(map[string]bool)}
	for _, r := range records {
		state.add(r)
	}
	return state
}

func (s *keyState) add(r record) {
	switch {
	case r.release:
		s.released[r.claim.ID] = true
		if s.holder != nil && s.holder.ID == r.claim.ID {
			s.holder = nil
		}
	case !s.released[r.claim.ID]:
		// A claim is recorded only while no other is in force, so an earlier one has
		// expired.
		s.holder = &r.claim
	}
}

// decide returns the outcome of a request and whether the request must be
// recorded. A release is recorded even when the claim is unknown, because an
// owner that still has the claim pending must not grant it later.
func (s *keyState) decide(r request) (outcome, bool) {
	switch {
	case r.release:
		return outcome{}, !s.released[r.claim.ID]
	case s.released[r.claim.ID]:
		return outcome{err: errReleased}, false
	case s.holder != nil:
		return outcome{holder: *s.holder}, false
	default:
		return outcome{holder: r.claim}, true
	}
}
