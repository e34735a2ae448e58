package member

import "time"

// SetServer announces the state of the local backend server.
func (t *Table) SetServer(server Server, now time.Time) {
	t.updateSelf(now, func(local *Record) { local.Server = server.normalized() })
}

// SetReader announces whether this node holds the reader lease of its region.
func (t *Table) SetReader(reader bool, now time.Time) {
	t.updateSelf(now, func(local *Record) { local.Reader = reader })
}

// Leave announces that this node is shutting down. Its backend server, if any, is
// announced as leaving.
func (t *Table) Leave(now time.Time) {
	t.updateSelf(now, func(local *Record) {
		local.State = Leaving
		local.Reader = false
		if local.Server.State != ServerNone && local.Server.State != ServerLeaving {
			local.Server.State = ServerLeaving
			local.Server.Since = normalizedTime(now)
		}
	})
}

// MarkLeft announces that the process is ending.
func (t *Table) MarkLeft(now time.Time) {
	t.updateSelf(now, func(local *Record) { local.State = Left })
}

// updateSelf applies a change to the local record and increments its sequence. If
// the record stays the same, nothing is announced.
func (t *Table) updateSelf(now time.Time, change func(*Record)) {
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	before := t.entries[t.id].record
	after := before
	change(&after)
	if after == before {
		return
	}
	after.Sequence++
	t.set(after, "", now)
}
