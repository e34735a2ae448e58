package sidecar

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serverChanged opens or closes the inbound proxy after a change of the backend
// server and updates the local fleet entry.
func (s *Sidecar) serverChanged(old, next instance.Server) {
	if old.IsSame(next) {
		s.log.WithField("departed", next.Departed).Info("departure of a server that is not the known one")
		s.registry.UpdateLocalEntry(func(entry *fleet.Entry) { entry.Departed = next.Departed })
		return
	}
	s.log.WithFields(map[string]any{
		"service": next.Service, "server": next.ID, "state": next.State, "slots": next.Slots, "born": next.StartTime, "sequence": next.Sequence,
		"old_server": old.ID, "old_state": old.State,
	}).Info("server changed")
	if old.ID != next.ID {
		s.proxy.ServerChanged()
	}
	s.recordCrash(old, next)
	switch {
	case s.stopping.Load():
	case next.State == fleet.Ready:
		s.slots.Open(next.Slots)
	case next.State == fleet.Draining:
		s.slots.Close(result.Errorf(result.Draining, "the server %s is leaving", next.ID))
	default:
		s.slots.Close(result.Errorf(result.ServerGone, "the server takes no connections"))
	}
	if next.State == fleet.Draining && !s.proxy.AwaitSends() {
		s.log.WithField("server", next.ID).Warn("a request is still being written to the server that leaves")
	}
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) {
		entry.Service, entry.Server, entry.Slots, entry.Crashes = next.Service, next.ID, next.Slots, s.crashes.String()
		entry.LeavingServer, entry.LeavingStart, entry.Departed = "", 0, next.Departed
		if next.Leaving {
			entry.LeavingServer, entry.LeavingStart = next.ID, next.StartTime
		}
		if !s.stopping.Load() {
			entry.State = next.State
		}
	})
}

// adoptPrevious adopts from the entry of an earlier process of this node what the fleet
// would lose with that entry: the leaving of the backend server, its identity, by which
// a health check finds it, and the crash record.
func (s *Sidecar) adoptPrevious(previous fleet.Entry) {
	for _, left := range previous.Departed {
		s.tracker.Depart(left)
	}
	s.adoptLeaving(previous)
	if s.tracker.Restore(previous.Service, previous.Server) == instance.Applied {
		s.log.WithField("server", previous.Server).Info("server known from the entry of an earlier process")
	}
	s.adoptCrashes(previous)
}

// adoptLeaving adopts the leaving of the backend server, which the earlier process has
// acknowledged. The server may not announce it again, and a delayed announcement may
// still say that it is ready.
func (s *Sidecar) adoptLeaving(previous fleet.Entry) {
	if previous.LeavingServer == "" {
		return
	}
	outcome := s.tracker.Leave(previous.LeavingServer, previous.LeavingStart)
	s.log.WithFields(map[string]any{"server": previous.LeavingServer, "born": previous.LeavingStart, "outcome": outcome}).Info("leaving server adopted from the entry of an earlier process")
}

// serverUnreachable records that the backend server takes no connections.
func (s *Sidecar) serverUnreachable(server string) {
	if s.tracker.MarkAbsent(server) {
		s.prober.wake()
	}
}

// serverLeaves records that a response says that the backend server leaves.
func (s *Sidecar) serverLeaves(server string, startTime int64) {
	if outcome := s.tracker.Leave(server, startTime); outcome == instance.Applied {
		s.log.WithFields(map[string]any{"server": server, "born": startTime}).Info("server says in a response that it leaves")
	}
}
