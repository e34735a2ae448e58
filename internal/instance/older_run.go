package instance

import "time"

// olderRunSilence is how long the known run must be silent, while another one that seems to
// be older announces itself, until that one counts as alive. Servers announce themselves
// every 1.5 s at most.
const olderRunSilence = 2 * time.Second

// olderRun is a run whose start time is before that of the known run. Its announcements are
// late, or the clock by which runs state their start was set back between the two starts.
type olderRun struct {
	server    string
	startTime int64
	// since is when its first announcement arrived since the known run announced itself.
	since time.Time
}

// isOlderRun reports whether an announcement comes from a run that seems to be older than
// the known one.
func isOlderRun(known Server, a Announcement) bool {
	return a.StartTime != 0 && a.StartTime < known.StartTime
}

// isAlive records an announcement of an older run and reports whether the run has been
// announcing itself for long enough to be alive.
func (o *olderRun) isAlive(now time.Time, a Announcement) bool {
	if o.server != a.Server || o.startTime != a.StartTime {
		*o = olderRun{server: a.Server, startTime: a.StartTime, since: now}
	}
	return now.Sub(o.since) >= olderRunSilence
}
