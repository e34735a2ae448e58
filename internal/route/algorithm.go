package route

// Algorithm picks one of several servers.
type Algorithm interface {
	// Name returns the name printed in comparison tables.
	Name() string
	// pick returns the index of the chosen candidate. There is at least one.
	pick(candidates []candidate, random uint64) int
}

// leastCost returns the index of the candidate with the lowest cost. The search
// starts at a random index, so that servers of equal cost share the calls.
func leastCost(candidates []candidate, random uint64, cost func(*candidate) float64) int {
	count := len(candidates)
	best := int(random % uint64(count))
	start := best
	for step := 1; step < count; step++ {
		index := (start + step) % count
		if cost(&candidates[index]) < cost(&candidates[best]) {
			best = index
		}
	}
	return best
}

// cheaperOfTwo returns the index of the cheaper of two different random
// candidates.
func cheaperOfTwo(candidates []candidate, random uint64, cost func(*candidate) float64) int {
	count := uint64(len(candidates))
	first := (random & 0xffffffff) % count
	if count == 1 {
		return int(first)
	}
	second := (first + 1 + (random>>32)%(count-1)) % count
	if cost(&candidates[second]) < cost(&candidates[first]) {
		return int(second)
	}
	return int(first)
}
