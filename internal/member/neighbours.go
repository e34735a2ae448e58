package member

import "slices"

// chooseNeighbours returns the nodes that a node exchanges records with. The
// candidates are other nodes of its region.
//
// The first choice is the next node on a ring ordered by rank. It connects the
// whole region and gives every node at least one watcher, which independent
// random choices do not: with 3 of 404 candidates each, about 1 node in 20 would
// be chosen by nobody. The other choices follow the rank within the node's own
// id. At least one choice is in another failure domain when there is one.
func chooseNeighbours(self *Record, candidates []*Record, count int) []Record {
	successor, found := ringSuccessor(self, candidates)
	if !found {
		return nil
	}
	chosen := []*Record{successor}
	var best lowestRanks
	var bestForeign lowestRanks
	best.limit = count - 1
	bestForeign.limit = 1
	for _, candidate := range candidates {
		if candidate == successor {
			continue
		}
		r := rankedRecord{Rank(self.ID, candidate.ID), candidate}
		best.offer(r)
		if candidate.FailureDomain != self.FailureDomain {
			bestForeign.offer(r)
		}
	}
	for _, r := range best.records {
		chosen = append(chosen, r.record)
	}
	isForeign := func(r *Record) bool { return r.FailureDomain != self.FailureDomain }
	if len(chosen) > 1 && len(bestForeign.records) > 0 && !slices.ContainsFunc(chosen, isForeign) {
		chosen[len(chosen)-1] = bestForeign.records[0].record
	}
	return dereference(chosen)
}

func dereference(records []*Record) []Record {
	result := make([]Record, len(records))
	for i, record := range records {
		result[i] = *record
	}
	return result
}

// ringSuccessor returns the candidate whose rank within the region follows that
// of the node; after the highest rank comes the lowest.
func ringSuccessor(self *Record, candidates []*Record) (*Record, bool) {
	own := Rank(self.Region, self.ID)
	var best *Record
	var bestDistance uint64
	for _, candidate := range candidates {
		// Unsigned subtraction wraps around, which closes the ring.
		distance := Rank(self.Region, candidate.ID) - own
		if best == nil || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best, best != nil
}

// regionCandidates returns the records of the region for which keep holds, the
// named node excepted.
func regionCandidates(records []Record, region, except string, keep func(*Record) bool) []*Record {
	var candidates []*Record
	for i := range records {
		record := &records[i]
		if record.Region == region && record.ID != except && keep(record) {
			candidates = append(candidates, record)
		}
	}
	return candidates
}
