package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down closes every connection without an answer; calls take no effect.
	Down bool `json:"down"`
	// Unavailable answers every call with 503; calls take no effect.
	Unavailable bool `json:"refuses"`
	// DelayMs delays every call before it takes effect, in milliseconds.
	DelayMs int `json:"slow_ms"`
	// LostResponsesPercent is the share of calls other than watches that take
	// effect and whose connection is then closed without an answer.
	LostResponsesPercent int `json:"lost_answers_percent"`
	// StaleReadsPercent is the share of reads that answer the value before the
	// newest write.
	StaleReadsPercent int `json:"old_values_percent"`
}

// slow returns the delay of every call.
func (f Faults) slow() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// faultSwitch holds the faults in force. It is safe for concurrent use.
type faultSwitch struct {
	mu      sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
}

func newFaultSwitch(seed uint64) *faultSwitch {
	return &faultSwitch{random: rand.New(rand.NewPCG(seed, 0)), changed: make(chan struct{})}
}

func (s *faultSwitch) change(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (s *faultSwitch) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// chance returns true for the given share of the calls.
func (s *faultSwitch) chance(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return percent > 0 && s.random.IntN(100) < percent
}
