package registry

// leaderCursor is how far a follower has read the fleet table of its leader.
type leaderCursor struct {
	runID    int64
	position uint64
	// mismatches counts the answers in a row after which the two still held different
	// entries.
	mismatches int
}

// maxMismatches is the number of such answers after which the whole fleet is asked
// for. A few are usual: an entry reaches the leader through the store and a follower
// by itself.
const maxMismatches = 3

// advance notes an answer of the leader and the digest of the entries held after it.
func (f *leaderCursor) advance(theirs peerState, digest uint64) {
	f.runID, f.position = theirs.RunID, theirs.Position
	if theirs.Digest == digest {
		f.mismatches = 0
		return
	}
	if f.mismatches++; f.mismatches >= maxMismatches {
		f.position, f.mismatches = 0, 0
	}
}
