package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// leadersPerDomain is the number of nodes of a failure domain that watch the store.
// The other nodes follow one of them, so that neither the calls to the store nor the
// bytes between domains grow with the nodes per domain. With two, losing one leaves
// one.
const leadersPerDomain = 2

// leaders returns the nodes of a failure domain that watch the store, in order of
// preference: those with the highest hash of domain and node (rendezvous hashing,
// Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998). Nodes with
// the same view of the fleet choose the same leaders; while views differ, a few more
// or fewer nodes watch the store.
func leaders(entries []fleet.Entry, domain string) []fleet.Entry {
	members := slices.DeleteFunc(slices.Clone(entries), func(e fleet.Entry) bool { return e.Domain != domain })
	slices.SortFunc(members, func(a, b fleet.Entry) int {
		return cmp.Or(cmp.Compare(rendezvousHash(b), rendezvousHash(a)), cmp.Compare(a.Node, b.Node))
	})
	return members[:min(len(members), leadersPerDomain)]
}

func rendezvousHash(e fleet.Entry) uint64 { return xxhash.Sum64String(e.Domain + "/" + e.Node) }
