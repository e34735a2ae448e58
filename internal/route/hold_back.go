package route

// holdBackFactor times the lowest estimate is the estimate above which a server
// is held back.
const holdBackFactor = 2

// holdBackPenalty exceeds any relative load, so that a server that is held back
// is chosen only when both random servers are.
const holdBackPenalty = 1000

// HoldBack holds back the servers whose estimate exceeds a threshold and picks
// the less loaded of two random servers. A server that is held back is picked
// only when both are.
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
