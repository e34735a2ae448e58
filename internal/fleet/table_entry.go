package fleet

import "time"

// tableEntry is an entry with its state in the store and in the table.
type tableEntry struct {
	entry *Entry
	// lapsedAt is when the entry left the store; zero while it is there.
	lapsedAt time.Time
	// lost is set if the entry lapsed because a restored store lacked it or only a peer
	// reported it, which does not prove that its node has left.
	lost bool
	// position is the table's position at the last change of the entry.
	position uint64
}
