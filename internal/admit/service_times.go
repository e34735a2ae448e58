package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// serviceTimes holds the moving average of the time that a call of each
// priority holds its slot. An unmeasured priority counts as 0, so its calls are
// bounded by the length of the queue only.
type serviceTimes struct {
	lookup   serviceTime
	order    serviceTime
	download serviceTime
}

// average returns the average average a priority.
func (s *serviceTimes) average(priority config.Priority) time.Duration {
	return s.entry(priority).average
}

// upperBound returns a time that few calls of a priority exceed.
func (s *serviceTimes) upperBound(priority config.Priority) time.Duration {
	entry := s.entry(priority)
	return entry.average + upperBoundDeviations*entry.deviation
}

// add counts a finished call.
func (s *serviceTimes) add(priority config.Priority, duration time.Duration) {
	s.entry(priority).add(duration)
}

func (s *serviceTimes) entry(priority config.Priority) *serviceTime {
	switch priority {
	case config.PriorityOrder:
		return &s.order
	case config.PriorityDownload:
		return &s.download
	default:
		return &s.lookup
	}
}
