package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of logs, each with its own head in the store, over which
// claims are distributed.
const Shards = 16

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// headKey returns the store key of the head of a shard, which holds its newest
// records.
func headKey(shard int) string { return "claims/" + strconv.Itoa(shard) }

// segmentKey returns the store key of a sealed segment of a shard.
func segmentKey(shard int, number uint64) string {
	return headKey(shard) + "/" + strconv.FormatUint(number, 10)
}
