package slots

import (
	"math"
	"time"
)

const (
	// waitRatioStep is added to the ratio when a wait exceeds its corrected prediction.
	// With 0.5, a handful of them doubles the predictions.
	waitRatioStep = 0.5
	// waitRatioDecay is the time constant with which the ratio returns to 1, so that an
	// overload is forgotten within seconds.
	waitRatioDecay = 10 * time.Second
	// maxWaitRatio bounds the ratio. At 8, requests are still queued for an eighth of
	// the time that they may wait.
	maxWaitRatio = 8
)

// waitRatio is the factor by which waits exceed their predictions: it is raised by each
// wait that exceeds the corrected prediction and decays in between (additive increase,
// multiplicative decrease, Chiu and Jain, Computer Networks and ISDN Systems 17, 1989).
// Requests that arrive later may overtake a waiting one, and hold times vary, so that a
// position in the queue tells only the shortest wait.
type waitRatio struct {
	excess    float64
	updatedAt time.Time
}

// observe records the wait of a request. slotInterval, the time in which one slot
// becomes free, keeps short waits from counting.
func (w *waitRatio) observe(now time.Time, predicted, actual, slotInterval time.Duration) {
	if actual > w.apply(now, predicted+slotInterval) {
		w.excess = min(w.decayed(now)+waitRatioStep, maxWaitRatio-1)
		w.updatedAt = now
	}
}

// apply returns a predicted wait multiplied by the ratio.
func (w *waitRatio) apply(now time.Time, predicted time.Duration) time.Duration {
	return time.Duration((1 + w.decayed(now)) * float64(predicted))
}

func (w *waitRatio) decayed(now time.Time) float64 {
	if w.excess == 0 {
		return 0
	}
	return w.excess * math.Exp(-float64(now.Sub(w.updatedAt))/float64(waitRatioDecay))
}
