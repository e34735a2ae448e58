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

// of returns the average of a priority.
func (s *serviceTimes) of(priority config.Priority) time.Duration {
	return s.field(priority).average
}

// long returns a time that few calls of a priority exceed.
func (s *serviceTimes) long(priority config.Priority) time.Duration {
	field := s.field(priority)
	return field.average + longDeviations*field.deviation
}

// add counts a finished call.
func (s *serviceTimes) add(priority config.Priority, held time.Duration) {
	s.field(priority).add(held)
}

func (s *serviceTimes) field(priority config.Priority) *serviceTime {
	switch priority {
	case config.PriorityOrder:
		return &s.order
	case config.PriorityDownload:
		return &s.download
	default:
		return &s.lookup
	}
}
