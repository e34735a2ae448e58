package store

// Epoch counts how often the store has come back from an earlier copy, as far as this
// process has seen it. What was written between the copy and the return is gone, and
// revisions and lease numbers are given out again, so those of two epochs have nothing
// in common.
type Epoch uint16

// numberBits is the number of bits of a Revision or LeaseID that hold its number; the
// upper ones hold its epoch. A revision of a later epoch is therefore above all of the
// earlier ones.
const numberBits = 48

// maxNumber is the largest number of a revision or a lease.
const maxNumber = 1<<numberBits - 1

// Revision returns the revision with a number of the store in this epoch. Number 0, a
// key that does not exist, is Revision 0 in all epochs.
func (e Epoch) Revision(number uint64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(uint64(e)<<numberBits | number&maxNumber)
}

// Lease returns the lease with a number of the store in this epoch; false when the
// number is too large to be held together with an epoch.
func (e Epoch) Lease(number uint64) (LeaseID, bool) {
	return LeaseID(uint64(e)<<numberBits | number), number != 0 && number <= maxNumber
}
