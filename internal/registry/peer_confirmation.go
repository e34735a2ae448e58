package registry

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/freshness"
)

// stateConfirmation adds the confirmation of the local configuration to the response to a
// question that arrived at the given time.
func (r *Registry) stateConfirmation(state *peerState, arrived time.Duration) {
	if r.deps.Freshness == nil {
		return
	}
	if s, known := r.deps.Freshness.State(boottime.Now(), arrived); known {
		state.ConfirmedVersion, state.ConfirmationAgeMs, state.HeldMs = s.Version, s.Age.Milliseconds(), s.Held.Milliseconds()
	}
}

// acceptConfirmation records the confirmation in the response of another node, after what
// else it holds was merged, to a question that was sent at the given time.
func (r *Registry) acceptConfirmation(remote peerState, sent time.Duration) {
	if r.deps.Freshness == nil || remote.ConfirmedVersion == 0 {
		return
	}
	r.deps.Freshness.Accept(uint64(r.deps.Routes.Version()), freshness.Statement{
		Version: remote.ConfirmedVersion,
		Age:     time.Duration(remote.ConfirmationAgeMs) * time.Millisecond,
		Held:    time.Duration(remote.HeldMs) * time.Millisecond,
	}, sent)
}
