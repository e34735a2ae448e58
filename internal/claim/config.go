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
	// DefaultWritesPerSecond bounds the writes of one shard: 16 shards make 160
	// of the several hundred writes that the store handles for everyone.
	DefaultWritesPerSecond = 10
	// DefaultWriteBurst is the number of writes of a shard that need not wait.
	DefaultWriteBurst = 20
	// DefaultSealRecords is the number of records above which a head is sealed.
	DefaultSealRecords = 1024
	// DefaultSealBytes leaves room in the store's 1 MB for a batch and for
	// retries of a seal that failed.
	DefaultSealBytes = 512 << 10
	// DefaultAckTimeout is how long an owner may take to acknowledge a request
	// before it counts as frozen; it covers a connection across regions.
	DefaultAckTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is how long a node keeps a shard in memory that it does not
	// write to.
	DefaultIdleTimeout = 10 * time.Minute
)

// Config configures the claims of one node.
type Config struct {
	// Node and Incarnation name this process.
	Node        string
	Incarnation uint64
	// StoreRegion is the region whose nodes own the shards.
	StoreRegion string
	// BatchWindow is how long an owner collects claims for one store write.
	BatchWindow time.Duration
	// WritesPerSecond and WriteBurst bound the store writes of one shard.
	WritesPerSecond float64
	WriteBurst      int
	// SealRecords and SealBytes are the sizes above which a head is sealed.
	SealRecords int
	SealBytes   int
	// AckTimeout is how long an owner may take to acknowledge a request.
	AckTimeout time.Duration
	// IdleTimeout is how long an unused shard stays in memory.
	IdleTimeout time.Duration
	// Random returns random numbers that name sealed segments.
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

// Validate returns an error that names the invalid key and its value.
func (c Config) Validate() error {
	switch {
	case c.Node == "":
		return errors.New("claim: Node is empty")
	case c.StoreRegion == "":
		return errors.New("claim: StoreRegion is empty")
	case c.BatchWindow < 0:
		return errors.Errorf("claim: BatchWindow %v is below 0", c.BatchWindow)
	case c.WritesPerSecond <= 0:
		return errors.Errorf("claim: WritesPerSecond %v is not above 0", c.WritesPerSecond)
	case c.WriteBurst < 1:
		return errors.Errorf("claim: WriteBurst %d is below 1", c.WriteBurst)
	case c.SealRecords < 1:
		return errors.Errorf("claim: SealRecords %d is below 1", c.SealRecords)
	case c.SealBytes < 1 || c.SealBytes > DefaultSealBytes:
		return errors.Errorf("claim: SealBytes %d is not between 1 and %d", c.SealBytes, DefaultSealBytes)
	case c.AckTimeout <= 0:
		return errors.Errorf("claim: AckTimeout %v is not above 0", c.AckTimeout)
	case c.IdleTimeout <= 0:
		return errors.Errorf("claim: IdleTimeout %v is not above 0", c.IdleTimeout)
	case c.Random == nil:
		return errors.New("claim: Random is not set")
	}
	return nil
}
