package claim

import (
	"slices"

	"github.com/pkg/errors"
)

// errReleased means that the claim of the attempt was released, after which it
// can never be granted again.
var errReleased = errors.New("the claim was already released")

// keyState is the state of one key: the claims in force and the ids of the released
// claims.
type keyState struct {
	// claims holds the claims that were not released, oldest first. There are two when a
	// claim of an earlier epoch is written again after its key was claimed in this one.
	claims   []Claim
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
	isSame := func(c Claim) bool { return c.ID == r.claim.ID }
	switch {
	case r.release:
		s.released[r.claim.ID] = true
		s.claims = slices.DeleteFunc(s.claims, isSame)
	case !s.released[r.claim.ID] && !slices.ContainsFunc(s.claims, isSame):
		s.claims = append(s.claims, r.claim)
	}
}

// decide returns the outcome of a request and whether the request must be
// recorded. A release is recorded even when the claim is unknown, because an
// owner that still has the claim pending must not grant it later.
//
// Of two claims in force the first recorded one is the holder: the other one, which may
// never have been granted, must not be granted to a repeat of its attempt.
func (s *keyState) decide(r request) (outcome, bool) {
	switch {
	case r.release:
		return outcome{}, !s.released[r.claim.ID]
	case s.released[r.claim.ID]:
		return outcome{err: errReleased}, false
	case len(s.claims) > 0:
		return outcome{holder: s.claims[0]}, false
	default:
		return outcome{holder: r.claim}, true
	}
}
