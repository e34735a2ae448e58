package balance

import (
	"math"
	"time"
)

const (
	// observationGain is the weight of a new sample of a node's speed and round
	// trip, so that about the last ten count.
	observationGain = 0.12
	// transferGain is the weight of a new sample of a node's throughput.
	transferGain = 0.3
	// speedMemory is how long a node that was measured as slow is held to be so
	// without new samples.
	speedMemory = 4 * time.Second
	// usualGain is the weight of a new report in a server's usual load, so that about
	// the last ten count.
	usualGain = 0.12
	// relaxation is the time in which most of a reported load is replaced, in hold
	// times: a queue that has formed lasts for longer than one request.
	relaxation = 8
	// shortestHold keeps a reported load from being held to be outdated at once.
	shortestHold = 20 * time.Millisecond
	// fullShare bounds the share of the slots in use for which a wait in the long run
	// exists.
	fullShare = 0.95
	// firstBackoff and maxBackoff bound how long a node that could not be reached
	// is passed over, unless it is heard from.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// refusalMemory is how long a node is passed over whose gate said that it has
	// no server that takes requests.
	refusalMemory = 500 * time.Millisecond
	// failureMemory is how long failures that a node reported count without news.
	failureMemory = 2 * time.Second
)

// peer is what is known of one node.
type peer struct {
	inFlight int
	report   Report
	reported time.Time
	// usual is the average of the reported loads.
	usual float64
	// inFlightThen is the number of own requests in flight at the report.
	inFlightThen int
	// speed is the node's time for a request in relation to the route's average.
	speed   float64
	sampled time.Time
	rtt     time.Duration
	// rate is the throughput of large answers in bytes a second, 0 before the first.
	rate     float64
	transfer time.Time
	// server is the identity that the observations belong to.
	server string

	failures  int
	downUntil time.Time
}

func newPeer(server string) *peer { return &peer{speed: 1, server: server} }

// outdated returns how much of a reported load has been replaced by other requests
// since: 0 for a new report, 1 for one that is much older than a request takes.
func (p *peer) outdated(now time.Time) float64 {
	if p.reported.IsZero() {
		return 1
	}
	replaced := relaxation * max(p.report.HoldTime, shortestHold)
	return 1 - math.Exp(-float64(now.Sub(p.reported))/float64(replaced))
}

// occupied returns the requests at the server: as reported at first, then more and
// more as usual, and never fewer than this node has there.
func (p *peer) occupied(now time.Time) float64 {
	reported := float64(p.report.Running + p.report.Waiting)
	estimate := reported + (p.usual-reported)*p.outdated(now) + float64(p.inFlight-p.inFlightThen)
	return max(estimate, float64(p.inFlight))
}

// wait returns the predicted wait for a slot. The load at this moment is known the
// less the older the report is; then the wait in the long run at the usual load
// counts (Sakasegawa, Annals of the Institute of Statistical Mathematics 29, 1977).
func (p *peer) wait(now time.Time, slots int) time.Duration {
	if slots == 0 {
		return 0
	}
	occupied, servers := p.occupied(now), float64(slots)
	perSlot := float64(p.report.HoldTime) / servers
	busy := min(occupied/servers, fullShare)
	inTheLongRun := perSlot * math.Pow(busy, math.Sqrt(2*(servers+1))) / (1 - busy) * p.outdated(now)
	return time.Duration(max(perSlot*(occupied+1-servers), inTheLongRun))
}

// relativeSpeed returns to 1 without samples.
func (p *peer) relativeSpeed(now time.Time) float64 {
	idle := now.Sub(p.sampled)
	if p.sampled.IsZero() || idle >= speedMemory {
		return 1
	}
	return p.speed + (1-p.speed)*float64(idle)/float64(speedMemory)
}

// transferTime returns the predicted time of an answer's bytes, 0 when nothing is
// known of late.
func (p *peer) transferTime(now time.Time, bytes float64) time.Duration {
	if p.rate <= 0 || now.Sub(p.transfer) >= speedMemory {
		return 0
	}
	return time.Duration(bytes / p.rate * float64(time.Second))
}

// transferred notes the throughput of a large answer.
func (p *peer) transferred(now time.Time, rate float64) {
	if p.rate <= 0 || now.Sub(p.transfer) >= speedMemory {
		p.rate = rate
	} else {
		p.rate += transferGain * (rate - p.rate)
	}
	p.transfer = now
}

func (p *peer) failing(now time.Time) float64 {
	idle := now.Sub(p.reported)
	if p.reported.IsZero() || idle >= failureMemory {
		return 0
	}
	return p.report.FailureRate * (1 - float64(idle)/float64(failureMemory))
}

func (p *peer) down(now time.Time) bool { return now.Before(p.downUntil) }

// reached notes that the node answered.
func (p *peer) reached() {
	p.failures = 0
	p.downUntil = time.Time{}
}

// unreachable passes the node over for a time that doubles.
func (p *peer) unreachable(now time.Time) {
	backoff := min(firstBackoff<<min(p.failures, 4), maxBackoff)
	p.failures++
	p.downUntil = now.Add(backoff)
}

// observe takes over a report and its measurements.
func (p *peer) observe(now time.Time, report Report, elapsed time.Duration, average float64) {
	load := float64(report.Running + report.Waiting)
	if p.reported.IsZero() {
		p.usual = load
	}
	p.usual += usualGain * (load - p.usual)
	p.report, p.reported, p.inFlightThen = report, now, p.inFlight
	rtt := max(elapsed-report.TotalTime, 0)
	if p.rtt == 0 {
		p.rtt = rtt
	} else {
		p.rtt += time.Duration(observationGain * float64(rtt-p.rtt))
	}
	if report.ServiceTime > 0 && average > 0 {
		p.speed = p.relativeSpeed(now)
		p.speed += observationGain * (float64(report.ServiceTime)/average - p.speed)
		p.sampled = now
	}
}
