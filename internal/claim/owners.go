package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// maxOwnersTried is how many owners a gate asks before it writes to the store
// itself, for which it must read the whole shard. When half of the region fails
// at once and is not yet declared dead, 2 owners of a quarter of the shards are
// gone, and hundreds of gates would read those shards, half of them across the
// link between the regions. All 8 owners are gone for 1 shard in 256.
const maxOwnersTried = 8

// rankedNode is a node with its rank for a shard; the lowest rank owns it.
type rankedNode struct {
	record *member.Record
	rank   uint64
}

// ownersOf returns the nodes of a region that own a shard, best first. Two
// nodes with different views may both take themselves for the owner, which is
// safe because they write with compare and swap.
func ownersOf(shard int, view *member.View, region string) []member.Record {
	var best [maxOwnersTried]rankedNode
	nodes := view.Nodes()
	for i := range nodes {
		if nodes[i].Region == region && nodes[i].State == member.Alive {
			insert(&best, rankedNode{&nodes[i], rankOf(shard, nodes[i].ID)})
		}
	}
	owners := make([]member.Record, 0, maxOwnersTried)
	for _, owner := range best {
		if owner.record != nil {
			owners = append(owners, *owner.record)
		}
	}
	return owners
}

// insert puts a node among the best when it belongs there. Nodes come sorted by
// id, so equal ranks keep that order.
func insert(best *[maxOwnersTried]rankedNode, node rankedNode) {
	for i := range best {
		if best[i].record == nil || node.rank < best[i].rank {
			best[i], node = node, best[i]
		}
		if node.record == nil {
			return
		}
	}
}

// rankOf is the rendezvous hash of a shard and a node. It runs for every node of
// the region at each claim and does not allocate.
func rankOf(shard int, node string) uint64 {
	var buffer [64]byte
	name := strconv.AppendInt(buffer[:0], int64(shard), 10)
	name = append(name, 0)
	return xxhash.Sum64(append(name, node...))
}
