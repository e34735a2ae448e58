package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// leadersPerDomain is the number of nodes of a failure domain that its other nodes
	// follow, so that the bytes between domains do not grow with the nodes per domain.
	// With two, losing one leaves one.
	leadersPerDomain = 2
	// readersPerRegion is the number of leaders of a region that watch the store. The
	// other leaders follow one of them, so that neither the calls to the store nor the
	// bytes between regions grow with the domains.
	readersPerRegion = 2
)

// leaders returns the leaders of a failure domain, in order of preference: first those
// with the fastest links, because a leader sends each change to all of its followers,
// then those with the highest hash of domain and node (rendezvous hashing, Thaler and
// Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998). Nodes with the same
// view of the fleet choose the same leaders; while views differ, a few more or fewer
// nodes watch the store.
func leaders(entries []fleet.Entry, domain string) []fleet.Entry {
	var members []fleet.Entry
	for _, e := range entries {
		if e.Domain == domain {
			members = append(members, e)
		}
	}
	slices.SortFunc(members, comparePreference)
	return members[:min(len(members), leadersPerDomain)]
}

// Leaders returns the leaders of a failure domain, in order of preference.
func Leaders(entries []fleet.Entry, domain string) []fleet.Entry { return leaders(entries, domain) }

// Roots returns the first leaders of all failure domains, in the order in which one of
// them serves the whole fleet.
func Roots(entries []fleet.Entry, regions map[string]string) []fleet.Entry {
	var roots []fleet.Entry
	for domain := range regions {
		if ofDomain := leaders(entries, domain); len(ofDomain) > 0 {
			roots = append(roots, ofDomain[0])
		}
	}
	slices.SortFunc(roots, comparePreference)
	return roots
}

// readers returns the nodes of a region that watch the store, in order of preference:
// the best leader of the region, and the best one of another failure domain if there is
// one.
func readers(entries []fleet.Entry, regions map[string]string, region string) []fleet.Entry {
	var first, others []fleet.Entry
	for domain, r := range regions {
		if r != region {
			continue
		}
		if ofDomain := leaders(entries, domain); len(ofDomain) > 0 {
			first, others = append(first, ofDomain[0]), append(others, ofDomain[1:]...)
		}
	}
	slices.SortFunc(first, comparePreference)
	slices.SortFunc(others, comparePreference)
	candidates := append(first, others...)
	return candidates[:min(len(candidates), readersPerRegion)]
}

// upstreams returns the nodes that a node may follow, in order of preference; none for
// a reader. The two leaders of a failure domain prefer different readers, so that a
// domain learns of a change although one reader is unresponsive. The other nodes of a
// domain that has lost both of its leaders follow the readers of the region: as many
// watches of the store as the domain has nodes would fill a thin link between regions.
func upstreams(entries []fleet.Entry, regions map[string]string, local fleet.Entry) []fleet.Entry {
	isLocal := func(e fleet.Entry) bool { return e.Node == local.Node }
	ofDomain := leaders(entries, local.Domain)
	rank := slices.IndexFunc(ofDomain, isLocal)
	ofRegion := readers(entries, regions, regions[local.Domain])
	if rank < 0 {
		isOfDomain := func(e fleet.Entry) bool {
			return slices.ContainsFunc(ofDomain, func(l fleet.Entry) bool { return l.Node == e.Node })
		}
		return append(ofDomain, slices.DeleteFunc(ofRegion, isOfDomain)...)
	}
	if slices.ContainsFunc(ofRegion, isLocal) {
		return nil
	}
	if rank > 0 {
		slices.Reverse(ofRegion)
	}
	return ofRegion
}

func comparePreference(a, b fleet.Entry) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rendezvousHash(b), rendezvousHash(a)), cmp.Compare(a.Node, b.Node))
}

func rendezvousHash(e fleet.Entry) uint64 { return xxhash.Sum64String(e.Domain + "/" + e.Node) }
