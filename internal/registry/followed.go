package registry

// followed is how far a follower has read the fleet table of its leader.
type followed struct {
	run      int64
	position uint64
	// differing counts the answers in a row after which the two still held different
	// entries.
	differing int
}

// maxDiffering is the number of such answers after which the whole fleet is asked
// for. A few are usual: an entry reaches the leader through the store and a follower
// by itself.
const maxDiffering = 3

// advance notes an answer of the leader and the digest of the entries held after it.
func (f *followed) advance(theirs peerState, digest uint64) {
	f.run, f.position = theirs.Run, theirs.Position
	if theirs.Digest == digest {
		f.differing = 0
		return
	}
	if f.differing++; f.differing >= maxDiffering {
		f.position, f.differing = 0, 0
	}
}
