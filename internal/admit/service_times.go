package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// serviceTimes holds the service time of each priority, which is how long a
// call holds its slot. It is 0 for a priority without samples, so the calls of
// that priority are limited by the queue length only.
type serviceTimes struct {
	lookup   serviceTime
	order    serviceTime
	download serviceTime
}

// average returns the average service time of a priority.
func (s *serviceTimes) average(priority config.Priority) time.Duration {
	return s.entry(priority).average
}

// upperBound returns a service time that few calls of a priority exceed.
func (s *serviceTimes) upperBound(priority config.Priority) time.Duration {
	entry := s.entry(priority)
	return entry.average + upperBoundDeviations*entry.deviation
}

// add records the service time of a completed call.
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
