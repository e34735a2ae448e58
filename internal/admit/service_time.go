package admit

import "time"

const (
	// serviceTimeWeight is the weight of a new sample in the exponential moving
	// averages.
	serviceTimeWeight = 0.1
	// upperBoundDeviations is the number of mean deviations above the average
	// that upperBound returns.
	upperBoundDeviations = 2
)

// serviceTime holds exponential moving averages of a service time and of its
// absolute deviation from the average.
type serviceTime struct {
	average   time.Duration
	deviation time.Duration
}

func (s *serviceTime) add(duration time.Duration) {
	if s.average == 0 {
		s.average = duration
		return
	}
	difference := duration - s.average
	s.average += time.Duration(serviceTimeWeight * float64(difference))
	s.deviation += time.Duration(serviceTimeWeight * float64(difference.Abs()-s.deviation))
}
