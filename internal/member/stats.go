package member

import "sync/atomic"

// stats counts what the table decided.
type stats struct {
	refused      atomic.Uint64
	truncated    atomic.Uint64
	evicted      atomic.Uint64
	suspicions   atomic.Uint64
	deaths       atomic.Uint64
	refutations  atomic.Uint64
	outbids      atomic.Uint64
	pausesNoted  atomic.Uint64
	invalidInput atomic.Uint64
}

// Stats are counters since the start of the table.
type Stats struct {
	// Dropped counts new records that found the table full.
	Dropped uint64
	// Truncated counts records beyond the bound of one message.
	Truncated uint64
	// Evicted counts records of gone nodes that made room.
	Evicted uint64
	// Suspicions counts the nodes that this node suspected.
	Suspicions uint64
	// Deaths counts the nodes that this node declared dead.
	Deaths uint64
	// Refutations counts the suspicions of the own node that it refuted.
	Refutations uint64
	// Outbids counts how often another process used the own id with a higher
	// incarnation.
	Outbids uint64
	// Pauses counts pauses of the own process.
	Pauses uint64
	// Invalid counts received records that failed validation.
	Invalid uint64
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	return Stats{
		Dropped:     t.stats.refused.Load(),
		Truncated:   t.stats.truncated.Load(),
		Evicted:     t.stats.evicted.Load(),
		Suspicions:  t.stats.suspicions.Load(),
		Deaths:      t.stats.deaths.Load(),
		Refutations: t.stats.refutations.Load(),
		Outbids:     t.stats.outbids.Load(),
		Pauses:      t.stats.pausesNoted.Load(),
		Invalid:     t.stats.invalidInput.Load(),
	}
}
