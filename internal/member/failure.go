package member

import "time"

// MessageReceived records that a message from a node arrived.
func (t *Table) MessageReceived(id string, now time.Time) {
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	e := t.entries[id]
	if e == nil || id == t.id {
		return
	}
	if e.record.Region == t.region {
		t.lastReceived[id] = now
		return
	}
	t.recordRegionContact(e.record.Region, now, now)
}

// ConnectionRefused records that a node's host refused a connection, which means
// that the process has ended. An alive node of the local region becomes suspected
// at once.
func (t *Table) ConnectionRefused(id string, now time.Time) {
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	e := t.entries[id]
	if e != nil && id != t.id && e.record.Region == t.region && e.record.State == Alive {
		t.suspect(e, now)
	}
}

// Tick applies all timeouts. It must be called several times a second.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.publishAndUnlock(now)
	t.compensatePause(now)
	t.suspectUnresponsive(now)
	for _, e := range t.entries {
		t.expire(e, now)
	}
	if t.regions.changed(now, t.config.RegionUnreachableAfter) {
		t.dirty = true
	}
}

// compensatePause moves all timeouts forward by the length of a pause of the local
// process. Without it, a process that was frozen would suspect all neighbours when
// it resumes.
func (t *Table) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap <= t.config.MaxTickGap {
		return
	}
	t.stats.pauses.Add(1)
	for id, received := range t.lastReceived {
		t.lastReceived[id] = earlier(received.Add(gap), now)
	}
	for _, e := range t.entries {
		if e.record.State == Suspect {
			e.updatedAt = earlier(e.updatedAt.Add(gap), now)
		}
	}
	t.regions.shift(gap, now)
}

// suspectUnresponsive suspects monitored nodes that have not sent a message within
// SuspectAfter.
func (t *Table) suspectUnresponsive(now time.Time) {
	for id, received := range t.lastReceived {
		idle := now.Sub(received)
		if idle < t.config.SuspectAfter {
			continue
		}
		e := t.entries[id]
		switch {
		case e == nil || !e.record.reachable() || !t.monitors(e.record):
			delete(t.lastReceived, id)
		case e.record.State == Alive:
			delete(t.lastReceived, id)
			t.suspect(e, now)
		case idle >= t.config.SuspectAfter+t.config.DeadAfter:
			// A leaving node is not suspected. One that becomes unresponsive before it
			// announces that it has left is dead.
			delete(t.lastReceived, id)
			t.declareDead(e, now)
		}
	}
}

// monitors reports whether this node monitors the given one: it is a neighbour of
// this node, or has this node as a neighbour and therefore sends messages to it.
func (t *Table) monitors(record Record) bool {
	for _, neighbour := range t.Plan().Neighbours {
		if neighbour.ID == record.ID {
			return true
		}
	}
	candidates := regionCandidates(t.View().nodes, record.Region, record.ID, isReachable)
	for _, neighbour := range chooseNeighbours(&record, candidates, t.config.Neighbours) {
		if neighbour.ID == t.id {
			return true
		}
	}
	return false
}

// expire declares suspected nodes of the local region dead and removes the records
// of left and dead nodes after ForgetAfter. Only their own region declares nodes
// dead, because refutations do not arrive while regions are disconnected. While any
// region is unreachable, no record is removed, so that the other region still
// learns that the node has left or is dead.
func (t *Table) expire(e *entry, now time.Time) {
	if e.record.reachable() || e.record.ID == t.id {
		return
	}
	age := now.Sub(e.updatedAt)
	switch {
	case e.record.State == Suspect && e.record.Region == t.region && age >= t.config.DeadAfter:
		t.declareDead(e, now)
	case e.record.DeadOrLeft() && min(age, t.regions.connectedFor(now)) >= t.config.ForgetAfter:
		t.remove(e.record.ID)
	}
}

func (t *Table) suspect(e *entry, now time.Time) {
	t.stats.suspicions.Add(1)
	record := e.record
	record.State = Suspect
	t.set(record, "", now)
}

func (t *Table) declareDead(e *entry, now time.Time) {
	t.stats.deaths.Add(1)
	record := e.record
	record.State = Dead
	t.set(record, "", now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
