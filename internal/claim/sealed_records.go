package claim

import "slices"

// sealedRecords holds the records of the keys of one batch that are in sealed
// segments.
type sealedRecords struct {
	// byHash holds the records by key hash, oldest first.
	byHash map[uint64][]record
	// unreadable holds the errors of the key hashes whose segments cannot be read.
	// Only the requests for these keys fail, not the whole batch.
	unreadable map[uint64]error
}

func newSealedRecords() sealedRecords {
	return sealedRecords{byHash: make(map[uint64][]record), unreadable: make(map[uint64]error)}
}

// add selects the records with the given key hashes from those of a segment.
func (s sealedRecords) add(hashes []uint64, records []record) {
	for _, r := range records {
		if hash := r.hash(); slices.Contains(hashes, hash) {
			s.byHash[hash] = append(s.byHash[hash], r)
		}
	}
}

// markUnreadable records that a segment that may hold the given key hashes cannot
// be read.
func (s sealedRecords) markUnreadable(hashes []uint64, err error) {
	for _, hash := range hashes {
		s.unreadable[hash] = err
	}
}
