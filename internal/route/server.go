package route

import (
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

const (
	// reportTimeConstant is the time constant with which a load report loses
	// weight.
	reportTimeConstant = time.Second
	// serviceTimeConstant is the time constant with which a measured service
	// time decays to the mean of the other servers, so that a server that was
	// slow is tried again.
	serviceTimeConstant = 10 * time.Second
	// failureTimeConstant is the time constant with which the share of failures
	// decays.
	failureTimeConstant = 10 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average
	// of the service time.
	serviceTimeSmoothing = 0.1
	// failureSmoothing is the weight of one call in the moving average of the
	// share of failed calls.
	failureSmoothing = 0.2
	// refusalLoadFactor times its slots is the number of running and waiting
	// calls assumed at a server that refused a call.
	refusalLoadFactor = 2
	// classCount is the number of classes with their own service time: the
	// priorities and one class for calls without a priority.
	classCount = 4
)

// server holds what this node learned about one backend server. All fields are
// atomic. Related values may be read at slightly different times, which only
// makes the estimate less exact.
type server struct {
	// inFlight counts the calls of this node whose outcome is not known yet.
	inFlight atomic.Int64
	// otherCalls is the number of running and waiting calls of other nodes
	// according to the last report.
	otherCalls decayingValue
	// slots is the last reported number of usable slots.
	slots decayingValue
	// failureShare is the moving average of the share of failed calls.
	failureShare decayingValue
	// serviceTimes holds the moving averages of the service time in seconds by
	// class.
	serviceTimes [classCount]decayingValue
	// roundTrip is the network round-trip time in nanoseconds.
	roundTrip atomic.Int64
	// generation combines the incarnation of the node and the time at which the
	// server entered its state. One of them changes with each restart.
	generation atomic.Uint64
}

// resetIfRestarted clears the estimates when the generation has changed.
func (s *server) resetIfRestarted(record *member.Record) {
	generation := record.Incarnation ^ uint64(record.Server.Since.UnixNano())
	old := s.generation.Load()
	if old == generation || !s.generation.CompareAndSwap(old, generation) || old == 0 {
		return
	}
	s.otherCalls.clear()
	s.slots.clear()
	s.failureShare.clear()
	for i := range s.serviceTimes {
		s.serviceTimes[i].clear()
	}
}

// load estimates the running and waiting calls at the server.
func (s *server) load(now time.Time) float64 {
	return s.otherCalls.decayed(now, reportTimeConstant) + float64(s.inFlight.Load())
}

// serviceTime returns the measured service time of a class in seconds and its
// weight, 0 to 1. For a class without a measurement it returns that of the
// calls without a priority; 0, 0 when there is none either.
func (s *server) serviceTime(now time.Time, priority config.Priority) (serviceTime, weight float64) {
	value, age, set := s.serviceTimes[classIndex(priority)].get(now)
	if !set {
		value, age, set = s.serviceTimes[classIndex("")].get(now)
	}
	if !set {
		return 0, 0
	}
	return value, decayWeight(age, serviceTimeConstant)
}

// observe updates the estimates with the outcome of a call of this node.
func (s *server) observe(now time.Time, outcome Outcome) {
	localInFlight := s.finish()
	s.updateLoad(now, outcome.Load, localInFlight)
	if outcome.Refused {
		s.recordRefusal(now)
		return
	}
	s.updateFailureShare(now, outcome.Failed)
	s.updateServiceTime(now, outcome)
}

// finish counts a call as done and returns the number of calls still in flight.
// The counter stays at 0 when the call was counted before the server was
// removed from the table.
func (s *server) finish() int64 {
	for {
		inFlight := s.inFlight.Load()
		if inFlight == 0 {
			return 0
		}
		if s.inFlight.CompareAndSwap(inFlight, inFlight-1) {
			return inFlight - 1
		}
	}
}

// updateLoad stores the part of a report that is not caused by calls of this
// node.
func (s *server) updateLoad(now time.Time, load *Load, localInFlight int64) {
	if load == nil {
		return
	}
	s.slots.set(now, float64(load.Slots))
	s.otherCalls.set(now, float64(max(0, int64(load.InFlight+load.Queued)-1-localInFlight)))
}

// recordRefusal assumes a full queue after a refusal, whatever the report says.
func (s *server) recordRefusal(now time.Time) {
	slots, _, _ := s.slots.get(now)
	full := refusalLoadFactor * max(1, slots)
	s.otherCalls.update(now, func(value float64, _ time.Duration, _ bool) float64 { return max(value, full) })
}

func (s *server) updateFailureShare(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureShare.update(now, func(share float64, age time.Duration, _ bool) float64 {
		return (1-failureSmoothing)*share*decayWeight(age, failureTimeConstant) + failureSmoothing*sample
	})
}

// updateServiceTime updates the service time with the elapsed time of a call. A
// failure counts only when it took longer than expected, so that a server that
// fails fast does not appear fast.
func (s *server) updateServiceTime(now time.Time, outcome Outcome) {
	elapsed := outcome.Elapsed - time.Duration(s.roundTrip.Load())
	index := classIndex(outcome.Priority)
	_, _, known := s.serviceTimes[index].get(now)
	if outcome.Elapsed <= 0 || (outcome.Failed && !known) {
		return
	}
	sample := max(0, elapsed.Seconds()) / queueFactor(outcome.Load)
	s.serviceTimes[index].update(now, func(value float64, _ time.Duration, set bool) float64 {
		if !set {
			return sample
		}
		if outcome.Failed && sample < value {
			return value
		}
		return value + serviceTimeSmoothing*(sample-value)
	})
}

// queueFactor returns the expected response time, in service times, at a server
// with the reported queue.
func queueFactor(load *Load) float64 {
	if load == nil || load.Slots <= 0 {
		return 1
	}
	return 1 + float64(load.Queued)/float64(load.Slots)
}

func classIndex(priority config.Priority) int {
	switch priority {
	case config.PriorityLookup:
		return 1
	case config.PriorityOrder:
		return 2
	case config.PriorityDownload:
		return 3
	default:
		return 0
	}
}
