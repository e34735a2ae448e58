package claim

import "slices"

// sealedRecords is what the sealed segments hold of the keys of one batch.
type sealedRecords struct {
	// byHash holds the records by key hash, oldest first.
	byHash map[uint64][]record
	// unreadable holds the keys whose segments cannot be read. Their requests are
	// refused, and the other requests of the batch go on.
	unreadable map[uint64]error
}

func newSealedRecords() sealedRecords {
	return sealedRecords{byHash: make(map[uint64][]record), unreadable: make(map[uint64]error)}
}

// add takes the records of some keys from the records of a segment.
func (s sealedRecords) add(hashes []uint64, records []record) {
	for _, r := range records {
		if hash := r.hash(); slices.Contains(hashes, hash) {
			s.byHash[hash] = append(s.byHash[hash], r)
		}
	}
}

// markUnreadable notes that a segment with records of some keys cannot be read.
func (s sealedRecords) markUnreadable(hashes []uint64, err error) {
	for _, hash := range hashes {
		s.unreadable[hash] = err
	}
}
