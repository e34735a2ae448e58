package route

// slowFactor times the lowest estimate of the candidates is the estimate above
// which a server counts as slow.
const slowFactor = 2

// slowPenalty is added to the relative load of a slow server. It exceeds any
// relative load, so that a slow server is picked only when both random servers are
// slow.
const slowPenalty = 1000

// TwoChoicesAvoidingSlow picks the less loaded of two random servers, but a slow
// server only when both are slow.
type TwoChoicesAvoidingSlow struct{}

// Name implements Algorithm. The comparison tables list the algorithm by this name.
func (TwoChoicesAvoidingSlow) Name() string { return "estimate with hold-back" }

func (TwoChoicesAvoidingSlow) pick(candidates []candidate, random uint64) int {
	threshold := slowFactor * candidates[leastCost(candidates, 0, estimateOf)].estimate
	return cheaperOfTwo(candidates, random, func(c *candidate) float64 {
		if c.estimate > threshold {
			return c.relativeLoad() + slowPenalty
		}
		return c.relativeLoad()
	})
}
