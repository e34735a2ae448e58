package sidecar

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
)

// endedWithoutNotice reports whether a run of the server that took requests is gone
// and had not said that it leaves.
func endedWithoutNotice(old, next instance.Server) bool {
	return old.State == fleet.Ready && (next.State == fleet.Absent || next.ID != old.ID)
}

// noteEnd records what the server was running when it ended.
func (s *Sidecar) noteEnd(old, next instance.Server) {
	if endedWithoutNotice(old, next) && s.crashes.AddCrash(time.Now()) {
		s.log.WithFields(map[string]any{"server": old.ID, "crashes": s.crashes.String()}).Info("server ended while it ran requests")
	}
}

// publishCrashes puts the record of crashes into the node's entry.
func (s *Sidecar) publishCrashes() {
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) { entry.Crashes = s.crashes.String() })
}
