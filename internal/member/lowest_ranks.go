package member

import "slices"

// lowestRanks collects the records with the lowest ranks, in order, up to a limit.
type lowestRanks struct {
	limit   int
	records []rankedRecord
}

// add inserts a record if its rank is among the lowest.
func (l *lowestRanks) add(r rankedRecord) {
	index, _ := slices.BinarySearchFunc(l.records, r, compareRanked)
	if index >= l.limit {
		return
	}
	l.records = slices.Insert(l.records, index, r)
	l.records = l.records[:min(len(l.records), l.limit)]
}
