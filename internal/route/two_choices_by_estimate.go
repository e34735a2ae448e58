package route

// TwoChoicesByEstimate picks the one of two random servers with the lower
// estimated time to the answer.
type TwoChoicesByEstimate struct{}

// Name implements Algorithm.
func (TwoChoicesByEstimate) Name() string { return "two choices by estimate" }

func (TwoChoicesByEstimate) pick(candidates []candidate, random uint64) int {
	return cheaperOfTwo(candidates, random, estimateOf)
}
