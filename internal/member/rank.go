package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the rendezvous hash of a node within a scope. The node with the
// lowest rank is preferred.
func Rank(scope, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(scope)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// rankedRecord is a record with its rank.
type rankedRecord struct {
	rank   uint64
	record *Record
}

func compareRanked(a, b rankedRecord) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.record.ID, b.record.ID))
}

// selectLowest returns up to count records with the lowest ranks within the scope,
// in order.
func selectLowest(scope string, records []*Record, count int) []Record {
	order := make([]rankedRecord, len(records))
	for i, record := range records {
		order[i] = rankedRecord{Rank(scope, record.ID), record}
	}
	slices.SortFunc(order, compareRanked)
	chosen := make([]Record, min(count, len(order)))
	for i := range chosen {
		chosen[i] = *order[i].record
	}
	return chosen
}

// LowestRanked returns up to count alive nodes of a failure domain with the lowest
// ranks within it, in order.
func LowestRanked(view *View, domain string, count int) []Record {
	var alive []*Record
	for i := range view.nodes {
		record := &view.nodes[i]
		if record.FailureDomain == domain && record.State == Alive {
			alive = append(alive, record)
		}
	}
	return selectLowest(domain, alive, count)
}
