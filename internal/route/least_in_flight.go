package route

// LeastInFlight picks the server with the lowest load relative to its slots.
type LeastInFlight struct{}

// Name implements Algorithm.
func (LeastInFlight) Name() string { return "least in flight" }

func (LeastInFlight) pick(candidates []candidate, random uint64) int {
	return leastCost(candidates, random, (*candidate).relativeLoad)
}
