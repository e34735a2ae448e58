package slots

import "time"

const (
	// recentSmoothing is the smoothing factor of the exponential moving average of
	// recent samples, so that about the last ten samples count.
	recentSmoothing = 0.15
	// recentDecay is how long the recent average takes to return to the baseline
	// without new samples, after which a server that was slow is tried again.
	recentDecay = 3 * time.Second
	// baselineSmoothing is the smoothing factor of the long-term average.
	baselineSmoothing = 0.02
)

// holdTimeAverage is the moving average, in nanoseconds, of the time that requests
// hold a slot.
type holdTimeAverage struct {
	recent       float64
	baseline     float64
	lastSampleAt time.Time
}

func (h *holdTimeAverage) add(now time.Time, holdTime time.Duration) {
	sample := float64(holdTime)
	if h.lastSampleAt.IsZero() {
		h.recent, h.baseline, h.lastSampleAt = sample, sample, now
		return
	}
	h.recent = h.at(now)
	h.recent += recentSmoothing * (sample - h.recent)
	h.baseline += baselineSmoothing * (sample - h.baseline)
	h.lastSampleAt = now
}

// at returns the average at a time: the recent one, which falls linearly to the
// baseline while no samples arrive. A recent average below the baseline stays.
func (h *holdTimeAverage) at(now time.Time) float64 {
	idle := now.Sub(h.lastSampleAt)
	if idle <= 0 || h.recent <= h.baseline {
		return h.recent
	}
	if idle >= recentDecay {
		return h.baseline
	}
	return h.recent + (h.baseline-h.recent)*float64(idle)/float64(recentDecay)
}
