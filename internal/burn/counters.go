package burn

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// counters counts the calls of one target since the last collection. add picks
// a random shard and takes no lock.
type counters struct {
	shards []shard
}

type shard struct {
	failed atomic.Uint64
	bins   []atomic.Uint32
	// Padding keeps the failure counters of two shards on separate cache lines.
	_ [32]byte
}

func newCounters(shards int) *counters {
	c := &counters{shards: make([]shard, shards)}
	for i := range c.shards {
		c.shards[i].bins = make([]atomic.Uint32, binCount)
	}
	return c
}

func (c *counters) add(elapsed time.Duration, success bool) {
	s := &c.shards[rand.IntN(len(c.shards))]
	if !success {
		s.failed.Add(1)
		return
	}
	s.bins[binIndex(elapsed)].Add(1)
}

// collect calls visit for each bin that has calls, returns the number of failed
// calls and resets both to 0.
func (c *counters) collect(visit func(bin int, calls uint64)) (failed uint64) {
	for i := range c.shards {
		s := &c.shards[i]
		failed += s.failed.Swap(0)
		for bin := range s.bins {
			if s.bins[bin].Load() != 0 {
				visit(bin, uint64(s.bins[bin].Swap(0)))
			}
		}
	}
	return failed
}
