package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// serviceTimeWeight is the weight of a new sample in the moving average.
const serviceTimeWeight = 0.1

// serviceTimes holds the moving average of the time that a call of each
// priority holds its slot. An unmeasured priority counts as 0, so its calls are
// bounded by the length of the queue only.
type serviceTimes struct {
	lookup   time.Duration
	order    time.Duration
	download time.Duration
}

// of returns the average of a priority.
func (s *serviceTimes) of(priority config.Priority) time.Duration {
	return *s.field(priority)
}

// add counts a finished call.
func (s *serviceTimes) add(priority config.Priority, held time.Duration) {
	average := s.field(priority)
	if *average == 0 {
		*average = held
		return
	}
	*average += time.Duration(serviceTimeWeight * float64(held-*average))
}

func (s *serviceTimes) field(priority config.Priority) *time.Duration {
	switch priority {
	case config.PriorityOrder:
		return &s.order
	case config.PriorityDownload:
		return &s.download
	default:
		return &s.lookup
	}
}
