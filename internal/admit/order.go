package admit

import "time"

// next returns the queued call that gets the next free slot, or nil when no
// queued call may start.
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

// canStart reports whether a new call of the class may start at once. It must
// follow a Dispatch, after which no queued call that takes precedence can
// start.
func (q *Queue) canStart(now time.Time, class class) bool {
	if q.Running() >= q.limit.at(now) || len(q.waiting[class]) > 0 {
		return false
	}
	return class == interactive || q.downloadAllowed(now)
}

// downloadAllowed reports whether another download may run beside the lookups
// and orders.
func (q *Queue) downloadAllowed(now time.Time) bool {
	return q.running[download] < q.downloadShare(now) || q.servesOnlyDownloads(now)
}

// downloadOverdue reports whether the oldest queued download has waited for
// maxDownloadDelay and takes precedence over lookups and orders. This applies
// only while no download is running, so lookups and orders lose at most one
// slot.
func (q *Queue) downloadOverdue(now time.Time) bool {
	if len(q.waiting[download]) == 0 || q.running[download] > 0 {
		return false
	}
	return now.Sub(q.waiting[download][0].offeredAt) >= maxDownloadDelay
}

// downloadShare returns the number of slots that downloads may use while the
// server also serves lookups or orders.
func (q *Queue) downloadShare(now time.Time) int {
	return max(1, q.limit.at(now)/2)
}

// servesOnlyDownloads reports whether no lookup or order is running, queued or
// was offered during the last interactiveIdlePeriod.
func (q *Queue) servesOnlyDownloads(now time.Time) bool {
	if q.running[interactive] > 0 || len(q.waiting[interactive]) > 0 {
		return false
	}
	return now.Sub(q.lastInteractiveAt) >= interactiveIdlePeriod
}
