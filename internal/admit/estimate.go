package admit

import "time"

// estimateWait returns the expected wait of a new call for a slot: the
// estimated work ahead of it divided by the slots that its class may use.
func (q *Queue) estimateWait(now time.Time, ticket *Ticket) time.Duration {
	if ticket.class == download {
		return q.estimateDownloadWait(now)
	}
	free := q.limit.at(now) - q.running[download]
	if free <= 0 {
		return q.queuedWork(interactive) + q.serviceTimes.download.average/time.Duration(max(1, q.running[download]))
	}
	return (q.queuedWork(interactive) + q.meanRunningTime()) / time.Duration(free)
}

func (q *Queue) estimateDownloadWait(now time.Time) time.Duration {
	slots := time.Duration(max(1, q.limit.at(now)))
	share := time.Duration(q.downloadShare(now))
	if q.servesOnlyDownloads(now) {
		share = slots
	}
	downloadWork := q.queuedWork(download) + q.serviceTimes.download.average
	return q.queuedWork(interactive)/slots + downloadWork/share
}

func (q *Queue) queuedWork(class class) time.Duration {
	var work time.Duration
	for _, ticket := range q.waiting[class] {
		work += q.serviceTimes.average(ticket.request.Priority)
	}
	return work
}

// meanRunningTime returns the mean service time of the running lookups and
// orders, and 0 when none is running.
func (q *Queue) meanRunningTime() time.Duration {
	if q.running[interactive] == 0 {
		return 0
	}
	var work time.Duration
	for priority, count := range q.runningBy {
		if classOf(priority) == interactive {
			work += time.Duration(count) * q.serviceTimes.average(priority)
		}
	}
	return work / time.Duration(q.running[interactive])
}
