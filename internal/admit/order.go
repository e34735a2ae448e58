package admit

import "time"

// next returns the waiting call that gets the next free slot, or nil.
func (q *Queue) next(now time.Time) *Ticket {
	if q.downloadOverdue(now) {
		return q.waiting[download][0]
	}
	if len(q.waiting[interactive]) > 0 {
		return q.waiting[interactive][0]
	}
	if len(q.waiting[download]) > 0 && q.downloadAllowed(now) {
		return q.waiting[download][0]
	}
	return nil
}

// canStart reports whether a new call of the class may start at once. No call
// that goes first waits, because Dispatch has run.
func (q *Queue) canStart(now time.Time, class class) bool {
	if q.Running() >= q.limit.at(now) || len(q.waiting[class]) > 0 {
		return false
	}
	return class == interactive || q.downloadAllowed(now)
}

// downloadAllowed reports whether one more download may run beside the lookups
// and orders.
func (q *Queue) downloadAllowed(now time.Time) bool {
	return q.running[download] < q.downloadShare(now) || q.servesOnlyDownloads(now)
}

// downloadOverdue reports whether the oldest download has waited so long that
// it goes ahead of the others. Only one download at a time does, so lookups and
// orders lose at most one slot.
func (q *Queue) downloadOverdue(now time.Time) bool {
	if len(q.waiting[download]) == 0 || q.running[download] > 0 {
		return false
	}
	return now.Sub(q.waiting[download][0].offeredAt) >= maxDownloadDelay
}

// downloadShare is the number of slots that downloads may hold while other
// calls use the server.
func (q *Queue) downloadShare(now time.Time) int {
	return max(1, q.limit.at(now)/2)
}

// servesOnlyDownloads reports whether the server serves downloads only.
func (q *Queue) servesOnlyDownloads(now time.Time) bool {
	if q.running[interactive] > 0 || len(q.waiting[interactive]) > 0 {
		return false
	}
	return now.Sub(q.lastInteractiveAt) >= interactiveIdlePeriod
}
