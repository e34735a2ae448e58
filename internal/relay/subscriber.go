package relay

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// maxStatisticsBytes is the maximum size of the statistics that a child sends.
const maxStatisticsBytes = 512 << 10

// subscriber is the state of one child at its parent. The table that holds it
// serializes access.
type subscriber struct {
	node string
	held config.Digest
	// report covers the child and its descendants when it lists domains;
	// otherwise the child has no descendants and is counted by held.
	report *controlpb.Report
	// statistics are those of the child and its descendants.
	statistics []byte
	// behindSince is when the child was first seen behind its parent; zero when
	// it is not behind.
	behindSince time.Time
	// replaced is closed when the child subscribes again.
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

// updateLag records since when the child has been behind the version of the
// parent.
func (s *subscriber) updateLag(version uint64, now time.Time) {
	if s.held.Version >= version {
		s.behindSince = time.Time{}
	} else if s.behindSince.IsZero() {
		s.behindSince = now
	}
}
