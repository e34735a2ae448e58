package route

// LeastEstimate picks the server with the lowest estimated response time.
type LeastEstimate struct{}

// Name implements Algorithm.
func (LeastEstimate) Name() string { return "least estimate" }

func (LeastEstimate) pick(candidates []candidate, random uint64) int {
	return leastCost(candidates, random, estimateOf)
}

func estimateOf(c *candidate) float64 { return c.estimate }
