package proxy

import (
	"sync"
	"time"
)

const (
	// failureGain is the weight of a new answer in the share of failures, so that
	// about the last eight count.
	failureGain = 0.12
	// failureMemory is how long a share of failures lasts without answers.
	failureMemory = 2 * time.Second
)

// failureRate is the share of recent attempts that a server failed.
type failureRate struct {
	mu    sync.Mutex
	share float64
	at    time.Time
}

func (f *failureRate) add(now time.Time, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share = f.decayed(now)
	f.share += failureGain * (sample - f.share)
	f.at = now
}

func (f *failureRate) load(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decayed(now)
}

// reset forgets the failures of an earlier server.
func (f *failureRate) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.share = 0
}

func (f *failureRate) decayed(now time.Time) float64 {
	idle := now.Sub(f.at)
	if idle >= failureMemory {
		return 0
	}
	return f.share * (1 - float64(idle)/float64(failureMemory))
}
