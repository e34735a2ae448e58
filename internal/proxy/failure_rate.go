package proxy

import (
	"sync"
	"time"
)

const (
	// failureSmoothing is the smoothing factor of the failure rate's moving average,
	// so that about the last eight responses count.
	failureSmoothing = 0.12
	// failureDecay is how long the failure rate takes to fall to 0 without responses.
	failureDecay = 2 * time.Second
)

// failureRate is the share of recent attempts at a server that failed, from 0 to 1,
// as a moving average. It is safe for concurrent use.
type failureRate struct {
	mu        sync.Mutex
	rate      float64
	updatedAt time.Time
}

func (f *failureRate) add(now time.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate = f.decayed(now)
	f.rate += failureSmoothing * (sample - f.rate)
	f.updatedAt = now
}

func (f *failureRate) value(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

// reset drops the failures of a previous server.
func (f *failureRate) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rate = 0
}

func (f *failureRate) decayed(now time.Time) float64 {
	idle := now.Sub(f.updatedAt)
	if idle >= failureDecay {
		return 0
	}
	return f.rate * (1 - float64(idle)/float64(failureDecay))
}
