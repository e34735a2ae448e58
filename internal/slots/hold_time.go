package slots

import "time"

const (
	// recentSmoothing is the smoothing factor of the exponential moving average of
	// recent samples, so that about the last ten samples count.
	holdGain = 0.15
	// recentDecay is how long the recent average takes to return to the baseline
	// without new samples, after which a server that was slow is tried again.
	holdMemory = 3 * time.Second
	// baselineSmoothing is the smoothing factor of the long-term average.
	baselineGain = 0.02
)

// holdTimeAverage is the moving average, in nanoseconds, of the time that requests
// hold a slot.
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

// at returns the average at a time: the recent one, which falls linearly to the
// baseline while no samples arrive. A recent average below the baseline stays.
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
