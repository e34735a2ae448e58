package route

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

const (
	// rampDuration is the time in which the share of a new server increases to
	// its full share.
	rampDuration = 10 * time.Second
	// failureCost is the time, in latency objectives, that a failure
	// probability of 1 adds to the estimate of a server.
	failureCost = 5
)

// candidate is an eligible server with its current load and estimates.
type candidate struct {
	record *member.Record
	server *server
	// load is the estimated number of calls at the server, running and waiting.
	load float64
	// slots is the number of slots that the server can use.
	slots float64
	// serviceTime is the measured service time in seconds; 0 when unknown.
	serviceTime float64
	// serviceTimeWeight is the weight of the measured service time, 0 to 1.
	serviceTimeWeight float64
	// estimate is the expected response time in seconds, including the cost of
	// failures.
	estimate float64
}

// relativeLoad is the load with one more call, divided by the slots.
func (c *candidate) relativeLoad() float64 { return (c.load + 1) / c.slots }

// setEstimate computes (waiting calls + 1) x service time + network delay, after
// Kang and Choo, for a server with several slots, and adds the cost of
// failures. mean is the mean service time of the candidates in seconds.
func (c *candidate) setEstimate(now time.Time, mean float64, objective time.Duration) {
	serviceTime := mean + (c.serviceTime-mean)*c.serviceTimeWeight
	waiting := max(0, c.load+1-c.slots) / c.slots
	network := time.Duration(c.server.roundTrip.Load()).Seconds()
	failures := c.server.failureShare.decayed(now, failureTimeConstant)
	c.estimate = (waiting+1)*serviceTime + network + failureCost*failures*objective.Seconds()
}

// usableSlots returns the slots of a server: the announced number, reduced
// while the server is new and while a recent report of its node stated fewer.
func usableSlots(record *member.Record, server *server, now time.Time) float64 {
	if record.Server.State == member.ServerStarting {
		return 1
	}
	announced := max(1, float64(record.Server.Slots))
	slots := announced
	if reported, age, set := server.slots.get(now); set && reported < slots {
		slots += (max(1, reported) - slots) * decayWeight(age, reportTimeConstant)
	}
	age := max(0, now.Sub(record.Server.Since))
	if age >= rampDuration {
		return slots
	}
	return min(slots, 1+(announced-1)*age.Seconds()/rampDuration.Seconds())
}

// meanServiceTime returns the weighted mean of the measured service times in
// seconds; 0 when none was measured.
func meanServiceTime(candidates []candidate) float64 {
	sum, weight := 0.0, 0.0
	for i := range candidates {
		sum += candidates[i].serviceTime * candidates[i].serviceTimeWeight
		weight += candidates[i].serviceTimeWeight
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
