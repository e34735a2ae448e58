package admit

import "time"

// estimateWait returns how long a new call would wait for a slot: the measured
// work ahead of it divided by the slots that its class can use.
func (q *Queue) estimateWait(now time.Time, ticket *Ticket) time.Duration {
	if ticket.class == download {
		return q.estimateDownloadWait(now)
	}
	free := q.limit.at(now) - q.running[download]
	if free <= 0 {
		return q.workWaiting(interactive) + q.times.download.average/time.Duration(max(1, q.running[download]))
	}
	return (q.workWaiting(interactive) + q.meanRunning()) / time.Duration(free)
}

func (q *Queue) estimateDownloadWait(now time.Time) time.Duration {
	slots := time.Duration(max(1, q.limit.at(now)))
	share := time.Duration(q.downloadShare(now))
	if q.quiet(now) {
		share = slots
	}
	own := q.workWaiting(download) + q.times.download.average
	return q.workWaiting(interactive)/slots + own/share
}

func (q *Queue) workWaiting(class class) time.Duration {
	var work time.Duration
	for _, ticket := range q.waiting[class] {
		work += q.times.of(ticket.request.Priority)
	}
	return work
}

// meanRunning returns the mean service time of the running lookups and orders.
func (q *Queue) meanRunning() time.Duration {
	if q.running[interactive] == 0 {
		return 0
	}
	var work time.Duration
	for priority, count := range q.runningBy {
		if classOf(priority) == interactive {
			work += time.Duration(count) * q.times.of(priority)
		}
	}
	return work / time.Duration(q.running[interactive])
}
