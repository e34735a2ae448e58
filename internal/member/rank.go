package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rendezvous hash of a node within a scope. The node with the
// lowest rank is the first choice.
func Rank(scope, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(scope)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// Ranked returns the records ordered by their rank within the scope.
func Ranked(scope string, records []Record) []Record {
	type rankedRecord struct {
		rank   uint64
		record Record
	}
	ranked := make([]rankedRecord, len(records))
	for i, record := range records {
		ranked[i] = rankedRecord{Rank(scope, record.ID), record}
	}
	slices.SortFunc(ranked, func(a, b rankedRecord) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.record.ID, b.record.ID))
	})
	ordered := make([]Record, len(ranked))
	for i := range ranked {
		ordered[i] = ranked[i].record
	}
	return ordered
}

// Lowest returns the nodes of a failure domain that are alive and have the
// lowest ranks within it, at most count.
func Lowest(view *View, domain string, count int) []Record {
	var alive []Record
	for _, record := range view.Nodes() {
		if record.FailureDomain == domain && record.State == Alive {
			alive = append(alive, record)
		}
	}
	ranked := Ranked(domain, alive)
	return ranked[:min(count, len(ranked))]
}
