package member

// chooseNeighbours returns the nodes that a node exchanges records with. The
// candidates are other nodes of its region.
//
// The first choice is the next node on a ring ordered by rank. It connects the
// whole region and gives every node at least one watcher, which independent
// random choices do not: with 3 of 404 candidates each, about 1 node in 20 would
// be chosen by nobody. The other choices follow the rank within the node's own
// id. At least one choice is in another failure domain when there is one.
func chooseNeighbours(self Record, candidates []Record, count int) []Record {
	successor, found := ringSuccessor(self, candidates)
	if !found {
		return nil
	}
	chosen := []Record{successor}
	foreign := successor.FailureDomain != self.FailureDomain
	for _, candidate := range Ranked(self.ID, candidates) {
		if candidate.ID == successor.ID {
			continue
		}
		isForeign := candidate.FailureDomain != self.FailureDomain
		full := len(chosen) >= count
		switch {
		case !full:
			chosen = append(chosen, candidate)
		case !foreign && isForeign && count > 1:
			chosen[len(chosen)-1] = candidate
		default:
			continue
		}
		foreign = foreign || isForeign
	}
	return chosen
}

// ringSuccessor returns the candidate whose rank within the region follows that
// of the node; after the highest rank comes the lowest.
func ringSuccessor(self Record, candidates []Record) (Record, bool) {
	own := Rank(self.Region, self.ID)
	var best Record
	var bestDistance uint64
	found := false
	for _, candidate := range candidates {
		// Unsigned subtraction wraps around, which closes the ring.
		distance := Rank(self.Region, candidate.ID) - own
		if !found || distance < bestDistance {
			best, bestDistance, found = candidate, distance, true
		}
	}
	return best, found
}

// regionCandidates returns the records of the region for which keep holds, the
// named node excepted.
func regionCandidates(records []Record, region, except string, keep func(Record) bool) []Record {
	var candidates []Record
	for _, record := range records {
		if record.Region == region && record.ID != except && keep(record) {
			candidates = append(candidates, record)
		}
	}
	return candidates
}
