package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders ids by rendezvous hashing: each key gives a different order, and
// adding or removing an id does not change the order of the others.
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
