package member

import "slices"

// lowestRanks keeps the records with the lowest ranks, in order.
type lowestRanks struct {
	limit int
	records []rankedRecord
}

// offer adds a record when its rank is among the lowest.
func (n *lowestRanks) offer(r rankedRecord) {
	index, _ := slices.BinarySearchFunc(n.records, r, compareRanked)
	if index >= n.limit {
		return
	}
	n.records = slices.Insert(n.records, index, r)
	n.records = n.records[:min(len(n.records), n.limit)]
}
