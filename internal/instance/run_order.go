package instance

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// isStale reports whether an announcement was sent before the known state or by a run that
// has left. The first one by which a run says that it leaves never is: its acknowledgement
// promises that no requests follow, and a run does not come back.
func (t *Tracker) isStale(known Server, a Announcement) bool {
	if t.departed.covers(t.now(), a) {
		return true
	}
	if !isSameRun(known, a) {
		return false
	}
	if a.Draining && !known.Leaving {
		return false
	}
	if t.left && known.StartTime != 0 {
		return true
	}
	return a.Sequence <= known.Sequence
}

// isSameRun reports whether an announcement comes from the known run of the server.
func isSameRun(known Server, a Announcement) bool {
	return a.Server == known.ID && (a.StartTime == known.StartTime || a.StartTime == 0 || known.StartTime == 0)
}

// announceOlder applies an announcement of a run that seems to be older than the known one
// and does not replace it.
func (t *Tracker) announceOlder(known Server, a Announcement) Outcome {
	switch {
	case !a.Draining:
		return Stale
	case a.Server == known.ID && !known.Leaving:
		// Requests for the known run reach this one if it is alive after all.
		return Unordered
	default:
		next := known
		t.depart(&next, departure{Departure: fleet.Departure{Server: a.Server, StartedBy: a.StartTime}, at: t.now()})
		t.update(known, next)
		return Departed
	}
}

// replace records that the run of an announcement takes the place of the known one.
func (t *Tracker) replace(known Server, a Announcement) {
	run := fleet.Departure{Server: known.ID, StartedBy: known.StartTime}
	switch {
	case isOlderRun(known, a) && known.StartTime > t.superseded.StartedBy:
		t.superseded = run
	case a.StartTime > t.superseded.StartedBy:
		t.superseded = fleet.Departure{}
	}
	if known.Leaving {
		t.departed.add(departure{Departure: run, at: t.now()})
	}
}
