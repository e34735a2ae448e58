package route

// TwoChoices picks the less loaded of two random servers.
type TwoChoices struct{}

// Name implements Algorithm.
func (TwoChoices) Name() string { return "two choices" }

func (TwoChoices) pick(candidates []candidate, random uint64) int {
	return cheaperOfTwo(candidates, random, (*candidate).relativeLoad)
}
