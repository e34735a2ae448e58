package fleet

// removal is a node that was removed from the view, with its last entry and the
// position at that time.
type removal struct {
	last     Entry
	position uint64
}

// maxRemovals bounds the removals that are listed. A reader that missed more
// needs the complete view.
const maxRemovals = 256
