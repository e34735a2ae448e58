package member

import "time"

// SetServer announces the state of the backend server beside the node.
func (t *Table) SetServer(server Server, now time.Time) {
	t.updateSelf(now, func(own *Record) { own.Server = server.normalized() })
}

// SetReader announces whether the node holds its region's reader lease.
func (t *Table) SetReader(reader bool, now time.Time) {
	t.updateSelf(now, func(own *Record) { own.Reader = reader })
}

// Leave announces that the node is shutting down. Its backend server, if any, is
// announced as leaving.
func (t *Table) Leave(now time.Time) {
	t.updateSelf(now, func(own *Record) {
		own.State = Leaving
		own.Reader = false
		if own.Server.State != ServerNone && own.Server.State != ServerLeaving {
			own.Server.State = ServerLeaving
			own.Server.Since = normalizedTime(now)
		}
	})
}

// MarkLeft announces that the process ends now.
func (t *Table) MarkLeft(now time.Time) {
	t.updateSelf(now, func(own *Record) { own.State = Left })
}

// updateSelf applies a change to the own record and raises its sequence. A
// change that alters nothing is not announced.
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
