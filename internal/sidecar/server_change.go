package sidecar

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serverChanged opens or closes the gate and tells the fleet.
func (s *Sidecar) serverChanged(old, next instance.Server) {
	s.log.WithFields(map[string]any{
		"server": next.ID, "state": next.State, "slots": next.Slots, "born": next.StartTime, "sequence": next.Sequence,
		"old_server": old.ID, "old_state": old.State,
	}).Info("server changed")
	if old.ID != next.ID {
		s.proxy.ServerChanged()
	}
	s.noteEnd(old, next)
	switch {
	case s.stopping.Load():
	case next.State == fleet.Ready:
		s.slots.Open(next.Slots)
	case next.State == fleet.Draining:
		s.slots.Close(result.Errorf(result.Draining, "the server %s is leaving", next.ID))
	default:
		s.slots.Close(result.Errorf(result.ServerGone, "the server takes no connections"))
	}
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) {
		entry.Server, entry.Slots, entry.Crashes = next.ID, next.Slots, s.crashes.String()
		if !s.stopping.Load() {
			entry.State = next.State
		}
	})
}

// serverLost notes that the server takes no connections.
func (s *Sidecar) serverLost(server string) {
	if s.server.MarkAbsent(server) {
		s.prober.wake()
	}
}
