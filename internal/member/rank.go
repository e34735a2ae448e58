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

// ranked is a record with its rank.
type ranked struct {
	rank   uint64
	record *Record
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.record.ID, b.record.ID))
}

// Ranked returns the records ordered by their rank within the scope.
func Ranked(scope string, records []Record) []Record {
	return lowest(scope, pointers(records), len(records))
}

// lowest returns the records with the lowest ranks within the scope, in order.
func lowest(scope string, records []*Record, count int) []Record {
	order := make([]ranked, len(records))
	for i, record := range records {
		order[i] = ranked{Rank(scope, record.ID), record}
	}
	slices.SortFunc(order, compareRanked)
	chosen := make([]Record, min(count, len(order)))
	for i := range chosen {
		chosen[i] = *order[i].record
	}
	return chosen
}

func pointers(records []Record) []*Record {
	result := make([]*Record, len(records))
	for i := range records {
		result[i] = &records[i]
	}
	return result
}

// LowestRanked returns the nodes of a failure domain that are alive and have the
// lowest ranks within it, at most count.
func LowestRanked(view *View, domain string, count int) []Record {
	var alive []*Record
	for i := range view.nodes {
		record := &view.nodes[i]
		if record.FailureDomain == domain && record.State == Alive {
			alive = append(alive, record)
		}
	}
	return lowest(domain, alive, count)
}
