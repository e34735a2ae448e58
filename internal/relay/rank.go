package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders ids by rendezvous hash: each key gives another order, and an id
// that comes or goes moves no other id.
func rank(key string, ids []string) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

func weight(key, id string) uint64 {
	return xxhash.Sum64String(key + "\x00" + id)
}
