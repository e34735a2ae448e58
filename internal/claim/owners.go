package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// maxOwnersTried is how many owners an inbound proxy tries before it writes to the
// store itself, for which it must read the whole shard. When half of a region
// fails at once and is not yet declared dead, a quarter of the shards have lost
// their first 2 owners. With a limit of 2, hundreds of inbound proxies would read
// those shards, half of them across the link between the regions. With a limit of
// 8, only 1 shard in 256 has lost all the owners that are tried.
const maxOwnersTried = 8

// rankedNode is a node with its rank for a shard. The node with the lowest rank is
// the first owner.
type rankedNode struct {
	record *member.Record
	rank   uint64
}

// ownersOf returns the nodes of a region that own a shard, lowest rank first. Two
// nodes with different membership views may both act as the first owner, which is
// safe because they write with compare-and-swap.
func ownersOf(shard int, view *member.View, region string) []member.Record {
	var lowest [maxOwnersTried]rankedNode
	nodes := view.Nodes()
	for i := range nodes {
		if nodes[i].Region == region && nodes[i].State == member.Alive {
			insert(&lowest, rankedNode{&nodes[i], rankOf(shard, nodes[i].ID)})
		}
	}
	owners := make([]member.Record, 0, maxOwnersTried)
	for _, owner := range lowest {
		if owner.record != nil {
			owners = append(owners, *owner.record)
		}
	}
	return owners
}

// insert adds a node to the lowest ranks if it is among them. The caller passes
// nodes sorted by id, so equal ranks keep that order.
func insert(lowest *[maxOwnersTried]rankedNode, node rankedNode) {
	for i := range lowest {
		if lowest[i].record == nil || node.rank < lowest[i].rank {
			lowest[i], node = node, lowest[i]
		}
		if node.record == nil {
			return
		}
	}
}

// rankOf returns the rendezvous hash of a shard and a node. It runs for each node
// of the region on each claim and does not allocate.
func rankOf(shard int, node string) uint64 {
	var buffer [64]byte
	name := strconv.AppendInt(buffer[:0], int64(shard), 10)
	name = append(name, 0)
	return xxhash.Sum64(append(name, node...))
}
