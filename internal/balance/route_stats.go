package balance

// routeSmoothing is the weight of a new sample in the averages of a route over all
// servers.
const routeSmoothing = 0.03

// routeStats holds the moving averages of one route.
type routeStats struct {
	// serviceTime is the time at a server in nanoseconds.
	serviceTime float64
	// bytes is the size of request and response together.
	bytes float64
}

func (s *routeStats) addServiceTime(sample float64) { s.serviceTime = ewma(s.serviceTime, sample) }

func (s *routeStats) addBytes(sample float64) { s.bytes = ewma(s.bytes, sample) }

func ewma(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + routeSmoothing*(sample-old)
}
