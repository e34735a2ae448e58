package slots

import "time"

const (
	// holdGain is the weight of a new sample in the moving average, so that about
	// the last ten samples count.
	holdGain = 0.15
	// holdMemory is how long an average without new samples keeps its weight
	// against the long-term one. A server that was slow is tried again after it.
	holdMemory = 3 * time.Second
	// baselineGain is the weight of a sample in the long-term average.
	baselineGain = 0.02
)

// holdTime is the moving average of the time that requests hold a slot.
type holdTime struct {
	recent   float64
	baseline float64
	sampled  time.Time
}

func (h *holdTime) add(now time.Time, held time.Duration) {
	sample := float64(held)
	if h.sampled.IsZero() {
		h.recent, h.baseline, h.sampled = sample, sample, now
		return
	}
	h.recent = h.at(now)
	h.recent += holdGain * (sample - h.recent)
	h.baseline += baselineGain * (sample - h.baseline)
	h.sampled = now
}

// at returns the average, which returns to the long-term one without samples.
func (h *holdTime) at(now time.Time) float64 {
	idle := now.Sub(h.sampled)
	if idle <= 0 || h.recent <= h.baseline {
		return h.recent
	}
	if idle >= holdMemory {
		return h.baseline
	}
	return h.recent + (h.baseline-h.recent)*float64(idle)/float64(holdMemory)
}
