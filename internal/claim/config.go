package claim

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	// DefaultBatchWindow is how long an owner collects claims for one store write.
	DefaultBatchWindow = 5 * time.Millisecond
	// DefaultWritesPerSecond limits the writes of one shard: 16 shards make up to
	// 160 of the several hundred writes per second that the store handles for all
	// its clients.
	DefaultWritesPerSecond = 10
	// DefaultWriteBurst is the number of writes of a shard that the rate limit lets
	// through without a delay.
	DefaultWriteBurst = 20
	// DefaultSealRecords is the number of records above which a head is sealed.
	DefaultSealRecords = 1024
	// DefaultSealBytes is the size above which a head is sealed. It leaves space in
	// the store's 1 MB limit for a batch and for retries of a failed seal.
	DefaultSealBytes = 512 << 10
	// DefaultAckTimeout is how long an owner may take to acknowledge a request
	// before it counts as unresponsive. It allows for connecting across regions.
	DefaultAckTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long a node keeps a shard in memory without writing
	// to it.
	DefaultIdleTimeout = 10 * time.Minute
)

// Config configures the claims of one node.
type Config struct {
	// Node and Incarnation identify this process.
	Node        string
	Incarnation uint64
	// StoreRegion is the region whose nodes own the shards.
	StoreRegion string
	// BatchWindow is how long an owner collects claims for one store write.
	BatchWindow time.Duration
	// WritesPerSecond and WriteBurst limit the rate of store writes of one shard.
	WritesPerSecond float64
	WriteBurst      int
	// SealRecords and SealBytes are the sizes above which a head is sealed.
	SealRecords int
	SealBytes   int
	// AckTimeout is how long an owner may take to acknowledge a request.
	AckTimeout time.Duration
	// IdleTimeout is how long an unused shard stays in memory; it stays longer while
	// the store may lose some of its records.
	IdleTimeout time.Duration
	// Random returns the random numbers by which sealed segments are named.
	Random func() uint64
}

// DefaultConfig returns the configuration of a node with the default limits.
func DefaultConfig(node string, incarnation uint64, storeRegion string) Config {
	return Config{
		Node:            node,
		Incarnation:     incarnation,
		StoreRegion:     storeRegion,
		BatchWindow:     DefaultBatchWindow,
		WritesPerSecond: DefaultWritesPerSecond,
		WriteBurst:      DefaultWriteBurst,
		SealRecords:     DefaultSealRecords,
		SealBytes:       DefaultSealBytes,
		AckTimeout:      DefaultAckTimeout,
		IdleTimeout:     DefaultIdleTimeout,
		Random:          rand.Uint64,
	}
}

// Validate returns an error that names the invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Node == "":
		return errors.New("claim: Node must not be empty")
	case c.StoreRegion == "":
		return errors.New("claim: StoreRegion must not be empty")
	case c.BatchWindow < 0:
		return errors.Errorf("claim: BatchWindow %v must not be negative", c.BatchWindow)
	case c.WritesPerSecond <= 0:
		return errors.Errorf("claim: WritesPerSecond %v must be above 0", c.WritesPerSecond)
	case c.WriteBurst < 1:
		return errors.Errorf("claim: WriteBurst %d must be at least 1", c.WriteBurst)
	case c.SealRecords < 1:
		return errors.Errorf("claim: SealRecords %d must be at least 1", c.SealRecords)
	case c.SealBytes < 1 || c.SealBytes > DefaultSealBytes:
		return errors.Errorf("claim: SealBytes %d must be from 1 to %d", c.SealBytes, DefaultSealBytes)
	case c.AckTimeout <= 0:
		return errors.Errorf("claim: AckTimeout %v must be above 0", c.AckTimeout)
	case c.IdleTimeout <= 0:
		return errors.Errorf("claim: IdleTimeout %v must be above 0", c.IdleTimeout)
	case c.Random == nil:
		return errors.New("claim: Random must not be nil")
	}
	return nil
}
