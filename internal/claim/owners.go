package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// ownersTried is how many owners a gate asks before it writes to the store
// itself. The second one keeps the fleet's writes in one place while the first
// is frozen and not yet declared dead.
const ownersTried = 2

// ownersOf returns the nodes of a region that own a shard, best first. Two
// nodes with different views may both take themselves for the owner, which is
// safe because they write with compare and swap.
func ownersOf(shard int, view *member.View, region string) []member.Record {
	type ranked struct {
		record member.Record
		rank   uint64
	}
	var candidates []ranked
	for _, record := range view.Nodes() {
		if record.Region == region && record.State == member.Alive {
			candidates = append(candidates, ranked{record, rankOf(shard, record.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.record.ID, b.record.ID))
	})
	owners := make([]member.Record, 0, ownersTried)
	for _, candidate := range candidates[:min(ownersTried, len(candidates))] {
		owners = append(owners, candidate.record)
	}
	return owners
}

// rankOf is the rendezvous hash of a shard and a node.
func rankOf(shard int, node string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + node)
}
