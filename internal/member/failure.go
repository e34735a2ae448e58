package member

import "time"

// MessageReceived notes that a message from a node arrived.
func (t *Table) MessageReceived(id string, now time.Time) {
	t.mu.Lock()
	defer t.finish(now)
	e := t.entries[id]
	if e == nil || id == t.id {
		return
	}
	if e.record.Region == t.region {
		t.heard[id] = now
		return
	}
	t.reached(e.record.Region, now, now)
}

// ConnectionRefused notes that a node's host refused the connection: the process is gone.
func (t *Table) ConnectionRefused(id string, now time.Time) {
	t.mu.Lock()
	defer t.finish(now)
	e := t.entries[id]
	if e != nil && id != t.id && e.record.Region == t.region && e.record.State == Alive {
		t.suspect(e, now)
	}
}

// Tick applies everything that depends on the passing of time. It must be
// called several times a second.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.finish(now)
	t.forgivePause(now)
	t.suspectSilent(now)
	for _, e := range t.entries {
		t.expire(e, now)
	}
	if t.regions.changed(now, t.config.RegionUnreachableAfter) {
		t.dirty = true
	}
}

// forgivePause moves all waiting times forward by the length of a pause of the
// own process. Without it a node that was frozen would suspect every neighbour
// when it wakes.
func (t *Table) forgivePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap <= t.config.MaxTickGap {
		return
	}
	t.stats.pausesNoted.Add(1)
	for id, heard := range t.heard {
		t.heard[id] = earlier(heard.Add(gap), now)
	}
	for _, e := range t.entries {
		if e.record.State == Suspect {
			e.since = earlier(e.since.Add(gap), now)
		}
	}
	t.regions.shift(gap, now)
}

// suspectSilent suspects watched nodes that have not been heard of.
func (t *Table) suspectSilent(now time.Time) {
	for id, heard := range t.heard {
		silence := now.Sub(heard)
		if silence < t.config.SuspectAfter {
			continue
		}
		e := t.entries[id]
		switch {
		case e == nil || !e.record.reachable() || !t.watches(e.record):
			delete(t.heard, id)
		case e.record.State == Alive:
			delete(t.heard, id)
			t.suspect(e, now)
		case silence >= t.config.SuspectAfter+t.config.DeadAfter:
			// A node that is leaving is not suspected; one that fell silent before it
			// announced the end has died.
			delete(t.heard, id)
			t.declareDead(e, now)
		}
	}
}

// watches reports whether the node is a neighbour, or has this node as its own
// neighbour and therefore would have sent a message.
func (t *Table) watches(record Record) bool {
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

// expire declares suspected nodes of the own region dead and forgets nodes that
// are gone. Nodes of other regions are judged there, because refutations do not
// arrive while the regions are disconnected. Nothing is forgotten during that
// time either: the other region must still learn that a node is gone.
func (t *Table) expire(e *entry, now time.Time) {
	if e.record.reachable() || e.record.ID == t.id {
		return
	}
	age := now.Sub(e.since)
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
