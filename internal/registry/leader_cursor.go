package registry

// leaderCursor is the position up to which a follower has read the fleet table of its
// leader.
type leaderCursor struct {
	runID    int64
	position uint64
	// mismatches counts the consecutive responses after which leader and follower
	// still held different entries.
	mismatches int
}

// maxMismatches is the number of mismatches after which all entries are requested. A
// few are normal: a follower holds a change of its local entry at once, but the leader
// receives it later, through the store or with the next poll.
const maxMismatches = 3

// advance records a response of the leader. digest is that of the entries held after
// the response was merged.
func (c *leaderCursor) advance(remote peerState, digest uint64) {
	c.runID, c.position = remote.RunID, remote.Position
	if remote.Digest == digest {
		c.mismatches = 0
		return
	}
	if c.mismatches++; c.mismatches >= maxMismatches {
		c.position, c.mismatches = 0, 0
	}
}
