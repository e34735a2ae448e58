package instance

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// Leave records that a run of the server shuts down. startTime is 0 when it was
// not stated, and then the run is identified by server alone. The run need not be known:
// its announcements may still be on their way.
func (t *Tracker) Leave(server string, startTime int64) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	left := fleet.Departure{Server: server, StartedBy: startTime}
	if startTime == 0 {
		left.StartedBy = t.now().UnixMilli()
	}
	if startTime == 0 && known.ID == server {
		left.StartedBy = max(left.StartedBy, known.StartTime)
	}
	next := known
	if known.ID != "" && (known.ID != server || (startTime != 0 && known.StartTime > startTime)) {
		t.depart(&next, departure{Departure: left, at: t.now()})
		t.leaveSuperseded(server)
		t.update(known, next)
		return Departed
	}
	if known.Leaving && !t.left {
		// Leaving tells the next process of the node enough of a run that announced it.
		t.departed.add(departure{Departure: left, at: t.now()})
	} else {
		t.depart(&next, departure{Departure: left, at: t.now()})
	}
	next.ID, next.State, next.Leaving = server, fleet.Draining, true
	if startTime != 0 {
		next.StartTime = startTime
	}
	t.left = true
	t.recordLeaving(known, next)
	return t.update(known, next)
}

// Depart records a departure that an earlier process of this node knew.
func (t *Tracker) Depart(left fleet.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.Server()
	next := known
	t.depart(&next, departure{Departure: left, at: t.now()})
	t.update(known, next)
}

func (t *Tracker) depart(next *Server, left departure) {
	t.departed.add(left)
	next.Departed = latestDepartures(next.Departed, left.Departure)
}

// recordLeaving records when the known run has left.
func (t *Tracker) recordLeaving(known, next Server) {
	if !known.Leaving || known.ID != next.ID || known.StartTime != next.StartTime {
		t.leavingSince = t.now()
	}
	t.leaveSuperseded(next.ID)
}

// leaveSuperseded records, as a run leaves, the departure of one under the same identity
// that was superseded. A late announcement of that one would seem to be newer.
func (t *Tracker) leaveSuperseded(server string) {
	if t.superseded.Server == server {
		t.departed.add(departure{Departure: t.superseded, exact: true, at: t.now()})
	}
}

// isLeavingAs reports whether the known run has left under an identity so recently that
// another one under it can't be told from a late announcement.
func (t *Tracker) isLeavingAs(known Server, server string) bool {
	return known.Leaving && known.ID == server && t.now().Sub(t.leavingSince) < departureTTL
}
