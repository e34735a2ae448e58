package store

import (
	"maps"
	"sync"
	"time"
)

// Counts holds the counts of store calls since the last reset.
type Counts struct {
	// ByKind counts the calls of each kind.
	ByKind map[string]uint64 `json:"by_kind"`
	// ByKeyPrefix counts writes by the part of the key before the first slash.
	ByKeyPrefix map[string]uint64 `json:"writes_by_key_prefix"`
	// WrittenAt is the time of the latest write by the same prefix.
	WrittenAt map[string]time.Time `json:"written_at"`
	Total     uint64               `json:"total"`
	// PeakPerSecond is the largest number of calls in one second.
	PeakPerSecond uint64 `json:"peak_per_second"`
	// BytesIn and BytesOut count the values written and read.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
	// Seconds is the time since the last reset.
	Seconds float64 `json:"seconds"`
}

// counter counts calls. It is safe for concurrent use.
type counter struct {
	now func() time.Time

	mu            sync.Mutex
	counts        Counts
	resetAt       time.Time
	second        int64
	callsInSecond uint64
}

func newCounter(now func() time.Time) *counter {
	c := &counter{now: now}
	c.reset()
	return c
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Counts{ByKind: make(map[string]uint64), ByKeyPrefix: make(map[string]uint64), WrittenAt: make(map[string]time.Time)}
	c.resetAt = c.now()
	c.second = 0
	c.callsInSecond = 0
}

func (c *counter) recordCall(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ByKind[kind]++
	c.counts.Total++
	if second := c.now().Unix(); second != c.second {
		c.second = second
		c.callsInSecond = 0
	}
	c.callsInSecond++
	c.counts.PeakPerSecond = max(c.counts.PeakPerSecond, c.callsInSecond)
}

func (c *counter) recordWrite(prefix string, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.ByKeyPrefix[prefix]++
	c.counts.WrittenAt[prefix] = c.now()
	c.counts.BytesIn += uint64(size)
}

func (c *counter) recordRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.BytesOut += uint64(size)
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.ByKind = maps.Clone(counts.ByKind)
	counts.ByKeyPrefix = maps.Clone(counts.ByKeyPrefix)
	counts.WrittenAt = maps.Clone(counts.WrittenAt)
	counts.Seconds = c.now().Sub(c.resetAt).Seconds()
	return counts
}
