package quarantine

import "time"

// maxNameBytes bounds the names in a report.
const maxNameBytes = 255

// acceptable reports whether a report is well formed and still matters.
func (l *List) acceptable(report Report, now time.Time) bool {
	if report.Node == "" || len(report.Node) > maxNameBytes || len(report.Service) > maxNameBytes {
		return false
	}
	age := now.Sub(report.At)
	return age < l.retention() && age > -l.config.MaxClockError
}

// retention is how long a report can have an effect.
func (l *List) retention() time.Duration { return l.config.Window + l.config.BlockFor }

func (l *List) expired(c crash, now time.Time) bool { return now.Sub(c.at) >= l.retention() }

// evict drops expired reports, and the request whose last report is the
// oldest when that does not suffice.
func (l *List) evict(now time.Time) {
	if len(l.crashes) < l.config.MaxRequests {
		return
	}
	var oldest Request
	var oldestAt time.Time
	for request, nodes := range l.crashes {
		last := l.dropExpired(request, nodes, now)
		if oldestAt.IsZero() || last.Before(oldestAt) {
			oldest, oldestAt = request, last
		}
	}
	if len(l.crashes) >= l.config.MaxRequests {
		delete(l.crashes, oldest)
		l.dropped.Add(1)
	}
}

// dropExpired removes expired reports of a request and returns the time of the
// newest.
func (l *List) dropExpired(request Request, nodes map[string]crash, now time.Time) time.Time {
	var last time.Time
	for node, c := range nodes {
		if l.expired(c, now) {
			delete(nodes, node)
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	if len(nodes) == 0 {
		delete(l.crashes, request)
	}
	return last
}
