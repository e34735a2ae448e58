package route

import (
	"math"
	"sync/atomic"
	"time"
)

// decayingValue is a value with the time at which it was set, in one atomic
// word: the upper half holds the value as a float32, the lower half the time in
// milliseconds. The time wraps after 49 days. A time up to a day ahead, as after a
// step of the clock, has age 0; one further ahead is an old one that has wrapped.
type decayingValue struct {
	bits atomic.Uint64
}

const (
	// wrapPeriod is when the time of a value repeats.
	wrapPeriod = (1 << 32) * time.Millisecond
	// maxClockStep is how far ahead the time of a value may lie.
	maxClockStep = 24 * time.Hour
)

// get returns the value and its age; false when it was never set.
func (d *decayingValue) get(now time.Time) (value float64, age time.Duration, set bool) {
	return unpack(d.bits.Load(), now)
}

// decayed returns the value after exponential decay with the given time
// constant; 0 when it was never set.
func (d *decayingValue) decayed(now time.Time, timeConstant time.Duration) float64 {
	value, age, _ := d.get(now)
	if value == 0 {
		return 0
	}
	return value * decayWeight(age, timeConstant)
}

// set replaces the value.
func (d *decayingValue) set(now time.Time, value float64) {
	d.bits.Store(pack(value, now))
}

// update replaces the value by a function of the old one. next may be called
// several times.
func (d *decayingValue) update(now time.Time, next func(value float64, age time.Duration, set bool) float64) {
	for {
		old := d.bits.Load()
		if d.bits.CompareAndSwap(old, pack(next(unpack(old, now)), now)) {
			return
		}
	}
}

// clear makes the value unset.
func (d *decayingValue) clear() { d.bits.Store(0) }

// decayWeight returns the remaining weight, 0 to 1, of a value of the given
// age.
func decayWeight(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

func pack(value float64, now time.Time) uint64 {
	// Millisecond 0 is avoided because the zero word means "not set".
	millis := max(1, uint32(now.UnixMilli()))
	return uint64(math.Float32bits(float32(value)))<<32 | uint64(millis)
}

func unpack(bits uint64, now time.Time) (float64, time.Duration, bool) {
	if bits == 0 {
		return 0, 0, false
	}
	age := time.Duration(uint32(now.UnixMilli())-uint32(bits)) * time.Millisecond
	if age > wrapPeriod-maxClockStep {
		age = 0
	}
	return float64(math.Float32frombits(uint32(bits >> 32))), age, true
}
