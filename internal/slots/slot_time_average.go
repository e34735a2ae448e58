package slots

import "time"

// slotTimeSmoothing is the smoothing factor of the averages for a hold time equal to
// the average, so that about the last twenty such requests count.
const slotTimeSmoothing = 0.05

// slotTimeAverage describes the request in an average busy slot: moving averages over
// requests, weighted by the time that they occupy a slot.
type slotTimeAverage struct {
	// holdTime is the average hold time of its route, in nanoseconds.
	holdTime float64
	// shortShare is the probability that it is a short one.
	shortShare float64
}

// add records a request that held a slot for holdTime, and the average of its route.
func (s *slotTimeAverage) add(holdTime time.Duration, routeAverage float64, short bool) {
	if s.holdTime == 0 {
		s.holdTime = routeAverage
		return
	}
	weight := min(slotTimeSmoothing*float64(holdTime)/s.holdTime, 1)
	s.holdTime += weight * (routeAverage - s.holdTime)
	if short {
		s.shortShare += weight * (1 - s.shortShare)
	} else {
		s.shortShare -= weight * s.shortShare
	}
}
