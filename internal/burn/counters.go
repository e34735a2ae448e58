package burn

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// counters hold the calls of one target since they were last collected. A call
// adds to one shard without a lock.
type counters struct {
	shards []shard
}

type shard struct {
	failed atomic.Uint64
	bins   []atomic.Uint32
	// The padding keeps the failure counters of two shards out of one cache line.
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

// collect calls a function for each bin with calls and returns the number of
// failed calls. What it returns is counted no more.
func (c *counters) collect(bin func(index int, calls uint64)) (failed uint64) {
	for i := range c.shards {
		s := &c.shards[i]
		failed += s.failed.Swap(0)
		for index := range s.bins {
			if s.bins[index].Load() != 0 {
				bin(index, uint64(s.bins[index].Swap(0)))
			}
		}
	}
	return failed
}
