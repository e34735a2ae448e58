package balance

import (
	"math"
	"time"
)

const (
	// observationGain is the weight of a new sample of a node's speed and round
	// trip, so that about the last ten count.
	observationGain = 0.12
	// throughputGain is the weight of a new sample of a node's throughput.
	throughputGain = 0.3
	// observationMaxAge is how long a node that was measured as slow is held to be so
	// without new samples.
	observationMaxAge = 4 * time.Second
	// loadGain is the weight of a new report in a server's usual load, so that about
	// the last ten count.
	loadGain = 0.12
	// loadTurnover is the time in which most of a reported load is replaced, in hold
	// times: a queue that has formed lasts for longer than one request.
	loadTurnover = 8
	// minHoldTime keeps a reported load from being held to be outdated at once.
	minHoldTime = 20 * time.Millisecond
	// maxUtilization bounds the share of the slots in use for which a wait in the long run
	// exists.
	maxUtilization = 0.95
	// firstBackoff and maxBackoff bound how long a node that could not be reached
	// is passed over, unless it is heard from.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// noServerBackoff is how long a node is passed over whose gate said that it has
	// no server that takes requests.
	noServerBackoff = 500 * time.Millisecond
	// failureMaxAge is how long failures that a node reported count without news.
	failureMaxAge = 2 * time.Second
)

// peer is what is known of one node.
type peer struct {
	inFlight   int
	report     Report
	reportedAt time.Time
	// averageLoad is the average of the reported loads.
	averageLoad float64
	// inFlightAtReport is the number of own requests in flight at the report.
	inFlightAtReport int
	// slowdown is the node's time for a request in relation to the route's average.
	slowdown  float64
	sampledAt time.Time
	rtt       time.Duration
	// throughput is the throughput of large answers in bytes a second, 0 before the first.
	throughput    float64
	transferredAt time.Time
	// server is the identity that the observations belong to.
	server string

	failures  int
	downUntil time.Time
}

func newPeer(server string) *peer { return &peer{slowdown: 1, server: server} }

// staleness returns how much of a reported load has been replaced by other requests
// since: 0 for a new report, 1 for one that is much older than a request takes.
func (p *peer) staleness(now time.Time) float64 {
	if p.reportedAt.IsZero() {
		return 1
	}
	replaced := loadTurnover * max(p.report.HoldTime, minHoldTime)
	return 1 - math.Exp(-float64(now.Sub(p.reportedAt))/float64(replaced))
}

// occupancy returns the requests at the server: as reported at first, then more and
// more as usual, and never fewer than this node has there.
func (p *peer) occupancy(now time.Time) float64 {
	reported := float64(p.report.Running + p.report.Waiting)
	estimate := reported + (p.averageLoad-reported)*p.staleness(now) + float64(p.inFlight-p.inFlightAtReport)
	return max(estimate, float64(p.inFlight))
}

// predictedWait returns the predicted predictedWait for a slot. The load at this moment is known the
// less the older the report is; then the predictedWait in the long run at the usual load
// counts (Sakasegawa, Annals of the Institute of Statistical Mathematics 29, 1977).
func (p *peer) predictedWait(now time.Time, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	occupied, servers := p.occupancy(now), float64(slots)
	perSlot := float64(p.report.HoldTime) / servers
	busy := min(occupied/servers, maxUtilization)
	inTheLongRun := perSlot * math.Pow(busy, math.Sqrt(2*(servers+1))) / (1 - busy) * p.staleness(now)
	return time.Duration(max(perSlot*(occupied+1-servers), inTheLongRun))
}

// currentSlowdown returns to 1 without samples.
func (p *peer) currentSlowdown(now time.Time) float64 {
	idle := now.Sub(p.sampledAt)
	if p.sampledAt.IsZero() || idle >= observationMaxAge {
		return 1
	}
	return p.slowdown + (1-p.slowdown)*float64(idle)/float64(observationMaxAge)
}

// transferTime returns the predicted time of an answer's bytes, 0 when nothing is
// known of late.
func (p *peer) transferTime(now time.Time, bytes float64) time.Duration {
	if p.throughput <= 0 || now.Sub(p.transferredAt) >= observationMaxAge {
		return 0
	}
	return time.Duration(bytes / p.throughput * float64(time.Second))
}

// observeThroughput notes the throughput of a large answer.
func (p *peer) observeThroughput(now time.Time, rate float64) {
	if p.throughput <= 0 || now.Sub(p.transferredAt) >= observationMaxAge {
		p.throughput = rate
	} else {
		p.throughput += throughputGain * (rate - p.throughput)
	}
	p.transferredAt = now
}

func (p *peer) failureRate(now time.Time) float64 {
	idle := now.Sub(p.reportedAt)
	if p.reportedAt.IsZero() || idle >= failureMaxAge {
		return 0
	}
	return p.report.FailureRate * (1 - float64(idle)/float64(failureMaxAge))
}

func (p *peer) isDown(now time.Time) bool { return now.Before(p.downUntil) }

// markReachable notes that the node answered.
func (p *peer) markReachable() {
	p.failures = 0
	p.downUntil = time.Time{}
}

// markUnreachable passes the node over for a time that doubles.
func (p *peer) markUnreachable(now time.Time) {
	backoff := min(firstBackoff<<min(p.failures, 4), maxBackoff)
	p.failures++
	p.downUntil = now.Add(backoff)
}

// observe takes over a report and its measurements.
func (p *peer) observe(now time.Time, report Report, elapsed time.Duration, average float64) {
	load := float64(report.Running + report.Waiting)
	if p.reportedAt.IsZero() {
		p.averageLoad = load
	}
	p.averageLoad += loadGain * (load - p.averageLoad)
	p.report, p.reportedAt, p.inFlightAtReport = report, now, p.inFlight
	rtt := max(elapsed-report.TotalTime, 0)
	if p.rtt == 0 {
		p.rtt = rtt
	} else {
		p.rtt += time.Duration(observationGain * float64(rtt-p.rtt))
	}
	if report.ServiceTime > 0 && average > 0 {
		p.slowdown = p.currentSlowdown(now)
		p.slowdown += observationGain * (float64(report.ServiceTime)/average - p.slowdown)
		p.sampledAt = now
	}
}
