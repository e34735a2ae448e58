package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of store values over which claims spread.
const Shards = 16

// ShardOf returns the shard of a key.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// headKey is the store key of a shard's newest claims.
func headKey(shard int) string { return "claims/" + strconv.Itoa(shard) }

// segmentKey is the store key of a sealed segment of a shard.
func segmentKey(shard int, number uint64) string {
	return headKey(shard) + "/" + strconv.FormatUint(number, 10)
}
