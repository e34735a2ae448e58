package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the active faults of the store. The zero value has none.
type Faults struct {
	// Down closes every connection without a response; calls take no effect.
	Down bool `json:"down"`
	// Unavailable responds to every call with 503; calls take no effect.
	Unavailable bool `json:"refuses"`
	// DelayMs delays every call before it takes effect, in milliseconds.
	DelayMs int `json:"slow_ms"`
	// LostResponsesPercent is the percentage of calls other than watches that take
	// effect and whose connection is then closed without a response.
	LostResponsesPercent int `json:"lost_answers_percent"`
	// StaleReadsPercent is the percentage of reads that return the value before the
	// latest write.
	StaleReadsPercent int `json:"old_values_percent"`
	// NoEra leaves the number of restores out of the responses, as an older store does.
	NoEra bool `json:"no_era"`
}

// callDelay returns the delay of every call.
func (f Faults) callDelay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// faultController holds the active faults. It is safe for concurrent use.
type faultController struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
}

func newFaultController(seed uint64) *faultController {
	return &faultController{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (s *faultController) change(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (s *faultController) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// chance returns true with the given probability in percent.
func (s *faultController) chance(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return percent > 0 && s.random.IntN(100) < percent
}
