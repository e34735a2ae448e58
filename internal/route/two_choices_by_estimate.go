package route

// TwoChoicesByEstimate picks the server with the lower estimated response time
// of two random servers.
type TwoChoicesByEstimate struct{}

// Name implements Algorithm.
func (TwoChoicesByEstimate) Name() string { return "two choices by estimate" }

func (TwoChoicesByEstimate) pick(candidates []candidate, random uint64) int {
	return cheaperOfTwo(candidates, random, estimateOf)
}
