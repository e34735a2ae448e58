package relay

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// maxStatisticsBytes bounds the statistics that a child sends.
const maxStatisticsBytes = 512 << 10

// subscriber is what a parent knows of one child. The table that holds it
// serializes access.
type subscriber struct {
	node string
	held config.Digest
	// report covers the child and the nodes below it when it names domains;
	// otherwise the child is alone and counted by held.
	report *controlpb.Report
	// statistics are those of the child and the nodes below it.
	statistics []byte
	// behindSince is when the child was first seen behind its parent.
	behindSince time.Time
	// replaced is closed when the child subscribed anew.
	replaced chan struct{}
}

// handle applies a message of the child.
func (s *subscriber) handle(message *controlpb.ChildMessage) {
	if message.Held != nil {
		s.held = fromProto(message.Held)
	}
	if burn := message.Report.GetBurn(); len(burn) > 0 && len(burn) <= maxStatisticsBytes {
		s.statistics = burn
	}
	switch {
	case message.Report != nil:
		s.report = message.Report
	case message.Held != nil && len(s.report.GetDomains()) == 0:
		s.report = nil
	}
}

// updateLag notes since when the child has been behind the parent's version.
func (s *subscriber) updateLag(version uint64, now time.Time) {
	if s.held.Version >= version {
		s.behindSince = time.Time{}
	} else if s.behindSince.IsZero() {
		s.behindSince = now
	}
}
