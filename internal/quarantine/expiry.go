package quarantine

import "time"

// maxNameBytes limits the names in a report.
const maxNameBytes = 255

// acceptable reports whether a report is well formed and can still have an effect.
func (l *List) acceptable(report Report, now time.Time) bool {
	if report.Node == "" || len(report.Node) > maxNameBytes || len(report.Service) > maxNameBytes {
		return false
	}
	age := now.Sub(report.At)
	return age < l.retention() && age > -l.config.MaxClockError
}

// retention returns how long a report can have an effect.
func (l *List) retention() time.Duration { return l.config.Window + l.config.BlockFor }

func (l *List) expired(c crash, now time.Time) bool { return now.Sub(c.at) >= l.retention() }

// evict makes space for one request: it drops expired reports and, if that does not
// suffice, the request whose newest report is the oldest.
func (l *List) evict(now time.Time) {
	if len(l.crashes) < l.config.MaxRequests {
		return
	}
	var oldest Request
	var oldestAt time.Time
	for request, nodes := range l.crashes {
		newest := l.dropExpired(request, nodes, now)
		if oldestAt.IsZero() || newest.Before(oldestAt) {
			oldest, oldestAt = request, newest
		}
	}
	if len(l.crashes) >= l.config.MaxRequests {
		delete(l.crashes, oldest)
		l.dropped.Add(1)
	}
}

// dropExpired removes the expired reports of a request and returns the time of the
// newest report.
func (l *List) dropExpired(request Request, nodes map[string]crash, now time.Time) time.Time {
	var newest time.Time
	for node, c := range nodes {
		if l.expired(c, now) {
			delete(nodes, node)
		}
		if c.at.After(newest) {
			newest = c.at
		}
	}
	if len(nodes) == 0 {
		delete(l.crashes, request)
	}
	return newest
}
