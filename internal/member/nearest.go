package member

import "slices"

// nearest keeps the records with the lowest ranks, in order.
type nearest struct {
	limit int
	found []ranked
}

// offer adds a record when its rank is among the lowest.
func (n *nearest) offer(r ranked) {
	index, _ := slices.BinarySearchFunc(n.found, r, compareRanked)
	if index >= n.limit {
		return
	}
	n.found = slices.Insert(n.found, index, r)
	n.found = n.found[:min(len(n.found), n.limit)]
}
