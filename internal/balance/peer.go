package balance

import (
	"math"
	"time"
)

const (
	// observationSmoothing is the weight of a new sample of a node's slowdown and
	// round-trip time. The average covers about the last ten samples.
	observationSmoothing = 0.12
	// throughputSmoothing is the weight of a new sample of a node's throughput.
	throughputSmoothing = 0.3
	// observationMaxAge is how long the slowdown and the throughput of a node are
	// used without new samples.
	observationMaxAge = 4 * time.Second
	// loadSmoothing is the weight of a new report in a server's average load. The
	// average covers about the last ten reports.
	loadSmoothing = 0.12
	// loadTurnover is the time in which most of a reported load is replaced by
	// other requests, in multiples of the hold time. It is above 1 because a
	// queue outlasts a single request.
	loadTurnover = 8
	// minHoldTime keeps a report of a very short hold time from counting as stale
	// at once.
	minHoldTime = 20 * time.Millisecond
	// maxUtilization caps the share of the slots in use in the formula of the
	// long-run wait, which has no finite value at full utilization.
	maxUtilization = 0.95
	// firstBackoff and maxBackoff bound the backoff of an unreachable node, which
	// ends earlier when the node responds.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// noServerBackoff is the backoff of a node whose inbound proxy reported that
	// no server takes requests.
	noServerBackoff = 500 * time.Millisecond
	// failureMaxAge is how long a reported failure rate counts without a new
	// report.
	failureMaxAge = 2 * time.Second
	// limitMaxAge is how long a reported limit counts without a new report. A server
	// that gets no requests can't report that its limit has ended.
	limitMaxAge = 2 * time.Second
)

// peer is the state that the balancer keeps of one node.
type peer struct {
	inFlight   int
	report     Report
	reportedAt time.Time
	// averageLoad is the moving average of the reported loads, in requests.
	averageLoad float64
	// inFlightAtReport is the number of this node's requests in flight there when
	// the report was received.
	inFlightAtReport int
	// slowdown is the node's service time relative to the average of the route.
	slowdown  float64
	sampledAt time.Time
	rtt       time.Duration
	// throughput is that of large responses in bytes per second; 0 before the
	// first.
	throughput    float64
	transferredAt time.Time
	// server is the identity of the server that the observations belong to.
	server string

	failures     int
	backoffUntil time.Time
}

func newPeer(server string) *peer { return &peer{slowdown: 1, server: server} }

// staleness returns how much of a reported load has been replaced by other
// requests since: 0 for a new report, close to 1 for one that is much older than
// a request takes.
func (p *peer) staleness(now time.Time) float64 {
	if p.reportedAt.IsZero() {
		return 1
	}
	turnover := loadTurnover * max(p.report.HoldTime, minHoldTime)
	return 1 - math.Exp(-float64(now.Sub(p.reportedAt))/float64(turnover))
}

// occupancy returns the estimated number of requests at the server: the reported
// load at first, then increasingly the average load, and never fewer than this
// node has in flight there.
func (p *peer) occupancy(now time.Time) float64 {
	reportedLoad := float64(p.report.Running + p.report.Waiting)
	estimate := reportedLoad + (p.averageLoad-reportedLoad)*p.staleness(now) + float64(p.inFlight-p.inFlightAtReport)
	return max(estimate, float64(p.inFlight))
}

// predictedWait returns the predicted wait for a slot. The older the report, the
// less is known of the current load, and the more the long-run wait at the
// average load counts (Sakasegawa, Annals of the Institute of Statistical
// Mathematics 29, 1977).
func (p *peer) predictedWait(now time.Time, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	occupied := p.occupancy(now)
	servers, holdTime := p.capacity(now, float64(slots), float64(p.report.HoldTime))
	perSlot := holdTime / servers
	utilization := min(occupied/servers, maxUtilization)
	longRunWait := perSlot * math.Pow(utilization, math.Sqrt(2*(servers+1))) / (1 - utilization) * p.staleness(now)
	return time.Duration(max(perSlot*(occupied+1-servers), longRunWait))
}

// capacity returns the slots and the hold time, in nanoseconds, with which a server does
// the requests that its limit leaves: as many slots as the limit keeps in use (Little,
// Operations Research 9(3), 1961), at least one.
func (p *peer) capacity(now time.Time, slots, holdTime float64) (limitedSlots, limitedHoldTime float64) {
	limited := p.report.Limit > 0 && !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < limitMaxAge
	if !limited || slots <= p.report.Limit*holdTime/float64(time.Second) {
		return slots, holdTime
	}
	limitedSlots = max(1, p.report.Limit*holdTime/float64(time.Second))
	return limitedSlots, limitedSlots / p.report.Limit * float64(time.Second)
}

// currentSlowdown returns the slowdown, which decays to 1 without new samples.
func (p *peer) currentSlowdown(now time.Time) float64 {
	age := now.Sub(p.sampledAt)
	if p.sampledAt.IsZero() || age >= observationMaxAge {
		return 1
	}
	return p.slowdown + (1-p.slowdown)*float64(age)/float64(observationMaxAge)
}

// transferTime returns the predicted transfer time of a response; 0 without a
// recent measurement of the throughput.
func (p *peer) transferTime(now time.Time, bytes float64) time.Duration {
	if p.throughput <= 0 || now.Sub(p.transferredAt) >= observationMaxAge {
		return 0
	}
	return time.Duration(bytes / p.throughput * float64(time.Second))
}

// observeThroughput records the throughput of a large response in bytes per
// second.
func (p *peer) observeThroughput(now time.Time, throughput float64) {
	if p.throughput <= 0 || now.Sub(p.transferredAt) >= observationMaxAge {
		p.throughput = throughput
	} else {
		p.throughput += throughputSmoothing * (throughput - p.throughput)
	}
	p.transferredAt = now
}

func (p *peer) failureRate(now time.Time) float64 {
	age := now.Sub(p.reportedAt)
	if p.reportedAt.IsZero() || age >= failureMaxAge {
		return 0
	}
	return p.report.FailureRate * (1 - float64(age)/float64(failureMaxAge))
}

func (p *peer) inBackoff(now time.Time) bool { return now.Before(p.backoffUntil) }

// markReachable ends the backoff and resets the count of failures.
func (p *peer) markReachable() {
	p.failures = 0
	p.backoffUntil = time.Time{}
}

// markUnreachable puts the node into backoff, for a time that doubles with each
// consecutive failure.
func (p *peer) markUnreachable(now time.Time) {
	backoff := min(firstBackoff<<min(p.failures, 4), maxBackoff)
	p.failures++
	p.backoffUntil = now.Add(backoff)
}

// observe records a report together with the round-trip time and the slowdown
// that it implies. averageServiceTime is that of the route in nanoseconds.
func (p *peer) observe(now time.Time, report Report, elapsed time.Duration, averageServiceTime float64) {
	load := float64(report.Running + report.Waiting)
	if p.reportedAt.IsZero() {
		p.averageLoad = load
	}
	p.averageLoad += loadSmoothing * (load - p.averageLoad)
	p.report, p.reportedAt, p.inFlightAtReport = report, now, p.inFlight
	rtt := max(elapsed-report.TotalTime, 0)
	if p.rtt == 0 {
		p.rtt = rtt
	} else {
		p.rtt += time.Duration(observationSmoothing * float64(rtt-p.rtt))
	}
	if report.ServiceTime > 0 && averageServiceTime > 0 {
		p.slowdown = p.currentSlowdown(now)
		p.slowdown += observationSmoothing * (float64(report.ServiceTime)/averageServiceTime - p.slowdown)
		p.sampledAt = now
	}
}
