package route

// Algorithm picks one of several servers.
type Algorithm interface {
	// Name returns the name used in tables.
	Name() string
	// pick returns the index of one of at least one candidates.
	pick(candidates []candidate, random uint64) int
}

// leastCost returns the index with the lowest cost. The search starts at a random
// place, so that equal servers share the calls.
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

// cheaperOfTwo returns the cheaper one of two different random candidates.
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
