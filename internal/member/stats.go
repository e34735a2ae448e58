package member

import "sync/atomic"

// stats holds the counters behind Stats.
type stats struct {
	dropped     atomic.Uint64
	truncated   atomic.Uint64
	evicted     atomic.Uint64
	suspicions  atomic.Uint64
	deaths      atomic.Uint64
	refutations atomic.Uint64
	outbids     atomic.Uint64
	pauses      atomic.Uint64
	invalid     atomic.Uint64
}

// Stats holds counters since the creation of the table.
type Stats struct {
	// Dropped counts new records that were dropped because the table was full.
	Dropped uint64
	// Truncated counts received records beyond MaxMessageRecords.
	Truncated uint64
	// Evicted counts records of left and dead nodes that were removed to free
	// capacity.
	Evicted uint64
	// Suspicions counts the nodes that this node suspected.
	Suspicions uint64
	// Deaths counts the nodes that this node declared dead.
	Deaths uint64
	// Refutations counts the suspicions of this node that it refuted.
	Refutations uint64
	// Outbids counts how often this node raised its incarnation above that of
	// another process with the same ID.
	Outbids uint64
	// Pauses counts the detected pauses of the process.
	Pauses uint64
	// Invalid counts received records that failed validation.
	Invalid uint64
}

// Stats returns the current counters.
func (t *Table) Stats() Stats {
	return Stats{
		Dropped:     t.stats.dropped.Load(),
		Truncated:   t.stats.truncated.Load(),
		Evicted:     t.stats.evicted.Load(),
		Suspicions:  t.stats.suspicions.Load(),
		Deaths:      t.stats.deaths.Load(),
		Refutations: t.stats.refutations.Load(),
		Outbids:     t.stats.outbids.Load(),
		Pauses:      t.stats.pauses.Load(),
		Invalid:     t.stats.invalid.Load(),
	}
}
