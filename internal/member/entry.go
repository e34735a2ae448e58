package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is a record with what the table knows about its origin.
type entry struct {
	record Record
	// position is the place of the record's last change in the table's log.
	position uint64
	// source is the node that the record came from; empty for changes made here.
	source string
	// since is when the record got its state here, by the local clock.
	since time.Time
}

// hash returns the contribution of the entry to the table's hash. Nodes forget
// records of gone nodes at different times, so these contribute nothing.
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
