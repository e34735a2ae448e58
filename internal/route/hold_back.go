package route

// holdBackFactor is how many times the lowest estimate a server's estimate may
// reach before the server is held back.
const holdBackFactor = 2

// holdBackPenalty exceeds any relative load, so that a server that is held back is
// chosen only when both choices are.
const holdBackPenalty = 1000

// HoldBack holds back the servers whose estimate exceeds a threshold and picks
// the less loaded one of two random servers among the others.
type HoldBack struct{}

// Name implements Algorithm.
func (HoldBack) Name() string { return "estimate with hold-back" }

func (HoldBack) pick(candidates []candidate, random uint64) int {
	threshold := holdBackFactor * candidates[leastCost(candidates, 0, estimateOf)].estimate
	return cheaperOfTwo(candidates, random, func(c *candidate) float64 {
		if c.estimate > threshold {
			return c.relativeLoad() + holdBackPenalty
		}
		return c.relativeLoad()
	})
}
