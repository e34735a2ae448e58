package sidecar

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
)

// endedWithoutNotice reports whether a run of the backend server that took requests
// has ended without announcing that it leaves.
func endedWithoutNotice(old, next instance.Server) bool {
	return old.State == fleet.Ready && (next.State == fleet.Absent || next.ID != old.ID)
}

// recordCrash records the requests that a backend server was running when it ended
// without notice.
func (s *Sidecar) recordCrash(old, next instance.Server) {
	if !endedWithoutNotice(old, next) {
		return
	}
	s.metrics.Scope.Counter("server_ends").Inc(1)
	charged := s.crashes.AddCrash(time.Now(), old.ID)
	if charged {
		s.metrics.Scope.Counter("server_ends_charged").Inc(1)
	}
	s.log.WithFields(map[string]any{"server": old.ID, "charged": charged, "crashes": s.crashes.String()}).Info("server ended without notice")
}

// blocklistChanged logs and counts the contents that are refused.
func (s *Sidecar) blocklistChanged(blocks crash.Blocklist) {
	s.metrics.Scope.Gauge("blocked_contents").Update(float64(blocks.Blocked()))
	s.log.WithFields(map[string]any{"blocked": blocks.Blocked(), "suspects": blocks.String()}).Info("contents refused because they crash servers changed")
}

// publishCrashes puts the crash record into the local fleet entry.
func (s *Sidecar) publishCrashes() {
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) { entry.Crashes = s.crashes.String() })
}

// adoptCrashes adopts the crash record of an earlier process, so that content stays
// refused after a restart of the nodes that recorded its crashes.
func (s *Sidecar) adoptCrashes(previous fleet.Entry) {
	record, err := crash.ParseRecord(previous.Crashes)
	if err != nil {
		s.log.WithError(err).Warn("crash record of an earlier process rejected")
		return
	}
	if s.crashes.Adopt(record) {
		s.log.WithField("crashes", s.crashes.String()).Info("crash record adopted from the entry of an earlier process")
		s.publishCrashes()
	}
}
