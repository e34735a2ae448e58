package member

import "slices"

// chooseNeighbours returns the nodes that a node exchanges records with. The
// candidates are the other nodes of its region.
//
// The first neighbour is the successor on a ring ordered by rank. The ring connects
// the whole region and gives every node at least one node that monitors it.
// Independent random choices do not: with 3 of 404 candidates each, about 1 node in
// 20 would be chosen by none. The other neighbours are those with the lowest ranks
// in the scope of the node's ID. At least one neighbour is in another failure domain,
// if there is one.
func chooseNeighbours(self *Record, candidates []*Record, count int) []Record {
	successor, ok := ringSuccessor(self, candidates)
	if !ok {
		return nil
	}
	chosen := []*Record{successor}
	var lowest lowestRanks
	var lowestOtherDomain lowestRanks
	lowest.limit = count - 1
	lowestOtherDomain.limit = 1
	for _, candidate := range candidates {
		if candidate == successor {
			continue
		}
		r := rankedRecord{Rank(self.ID, candidate.ID), candidate}
		lowest.add(r)
		if candidate.FailureDomain != self.FailureDomain {
			lowestOtherDomain.add(r)
		}
	}
	for _, r := range lowest.records {
		chosen = append(chosen, r.record)
	}
	inOtherDomain := func(r *Record) bool { return r.FailureDomain != self.FailureDomain }
	if len(chosen) > 1 && len(lowestOtherDomain.records) > 0 && !slices.ContainsFunc(chosen, inOtherDomain) {
		chosen[len(chosen)-1] = lowestOtherDomain.records[0].record
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

// ringSuccessor returns the candidate with the next higher rank within the region;
// the highest rank is followed by the lowest. It returns false when there are no
// candidates.
func ringSuccessor(self *Record, candidates []*Record) (*Record, bool) {
	localRank := Rank(self.Region, self.ID)
	var successor *Record
	var minDistance uint64
	for _, candidate := range candidates {
		// Unsigned subtraction wraps around at the end of the ring.
		distance := Rank(self.Region, candidate.ID) - localRank
		if successor == nil || distance < minDistance {
			successor, minDistance = candidate, distance
		}
	}
	return successor, successor != nil
}

// regionCandidates returns the records of the region for which keep returns true,
// without that of excludedID.
func regionCandidates(records []Record, region, excludedID string, keep func(*Record) bool) []*Record {
	var candidates []*Record
	for i := range records {
		record := &records[i]
		if record.Region == region && record.ID != excludedID && keep(record) {
			candidates = append(candidates, record)
		}
	}
	return candidates
}
