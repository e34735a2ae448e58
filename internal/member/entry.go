package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is a record with the local metadata about its last change.
type entry struct {
	record Record
	// position is the position of the last change in the change log of the table.
	position uint64
	// source is the ID of the peer that sent the record; empty for local changes.
	source string
	// updatedAt is the local time of the last change. Pauses of the process move it
	// forward while the node is suspected.
	updatedAt time.Time
}

// hash returns the contribution of the entry to the hash of the table. It is zero
// for left and dead nodes, because nodes remove these records at different times.
func (e *entry) hash() uint64 {
	if e == nil || e.record.DeadOrLeft() {
		return 0
	}
	var suffix [17]byte
	binary.LittleEndian.PutUint64(suffix[0:], e.record.Incarnation)
	binary.LittleEndian.PutUint64(suffix[8:], e.record.Sequence)
	suffix[16] = byte(e.record.State)
	digest := xxhash.New()
	_, _ = digest.WriteString(e.record.ID)
	_, _ = digest.Write(suffix[:])
	return digest.Sum64()
}
