package claim

import "slices"

// segmentIndex holds the sorted key hashes of a sealed segment, 8 bytes each. It
// tells whether the segment may hold a key; the records stay in the store.
type segmentIndex struct {
	name   segmentName
	hashes []uint64
}

func newSegmentIndex(name segmentName, records []record) segmentIndex {
	hashes := make([]uint64, len(records))
	for i, r := range records {
		hashes[i] = r.hash()
	}
	slices.Sort(hashes)
	return segmentIndex{name: name, hashes: slices.Clip(slices.Compact(hashes))}
}

func (s segmentIndex) mayHold(hash uint64) bool {
	_, found := slices.BinarySearch(s.hashes, hash)
	return found
}
