package route

// Random picks a random server.
type Random struct{}

// Name implements Algorithm.
func (Random) Name() string { return "random" }

func (Random) pick(candidates []candidate, random uint64) int {
	return int(random % uint64(len(candidates)))
}
