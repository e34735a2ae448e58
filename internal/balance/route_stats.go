package balance

// routeGain is the weight of a new sample in a route's averages, over all
// servers.
const routeGain = 0.03

// routeStats are the averages of one route.
type routeStats struct {
	// work is the time at a server in nanoseconds.
	work float64
	// bytes is the size of request and answer.
	bytes float64
}

func (s *routeStats) addWork(sample float64) { s.work = average(s.work, sample) }

func (s *routeStats) addBytes(sample float64) { s.bytes = average(s.bytes, sample) }

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + routeGain*(sample-old)
}
