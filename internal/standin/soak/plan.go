package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the type of a fault.
type kind string

// The faults of a single host and of the components shared by all hosts.
const (
	kill                kind = "kill"
	freeze              kind = "freeze"
	terminate           kind = "terminate"
	reload              kind = "reload"
	inboundLinkFault    kind = "gate"
	storeLinkFault      kind = "store link"
	serverLinkFault     kind = "server link"
	crash               kind = "crash server"
	replace             kind = "replace server"
	storeDown           kind = "store down"
	storeLosesResponses kind = "store loses answers"
	compact             kind = "drop history"
	revoke              kind = "end leases"
	configure           kind = "configure"
	failRequests        kind = "fail requests"
	leaveUnannounced    kind = "leave unannounced"
)

var kinds = []kind{
	kill, freeze, terminate, reload, inboundLinkFault, storeLinkFault, serverLinkFault, crash, replace,
	storeDown, storeLosesResponses, compact, revoke, configure, configure,
}

// laterKinds are drawn beside kinds from a source of their own, so that the other faults of
// a seed that once failed stay as they were.
var laterKinds = []kind{failRequests, leaveUnannounced}

// fault is one entry of a plan.
type fault struct {
	at   time.Duration
	kind kind
	host int
	// duration is how long the fault stays active; instantaneous faults ignore it.
	duration time.Duration
	// variant selects the fault that a proxy injects.
	variant int
}

const (
	// meanInterval is the mean time between two faults. It is below their mean
	// duration, so that they overlap.
	meanInterval = 500 * time.Millisecond
	// minDuration and maxDuration limit the duration of a fault.
	minDuration = 200 * time.Millisecond
	maxDuration = 3 * time.Second
	// burstOdds is the inverse of the probability that a fault occurs three times in a
	// row, on successive hosts.
	burstOdds = 4
)

// plan returns the faults determined by a seed, sorted by start time.
func plan(seed uint64, hosts int, period time.Duration) []fault {
	faults := append(
		draw(rand.New(rand.NewPCG(seed, 0)), kinds, meanInterval, hosts, period),
		draw(rand.New(rand.NewPCG(seed, 1)), laterKinds, 4*meanInterval, hosts, period)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// draw returns random faults of some kinds at a mean interval.
func draw(random *rand.Rand, kinds []kind, interval time.Duration, hosts int, period time.Duration) []fault {
	var faults []fault
	for at := time.Duration(0); at < period; at += time.Duration(random.ExpFloat64() * float64(interval)) {
		f := fault{
			at: at, kind: kinds[random.IntN(len(kinds))], host: random.IntN(hosts), variant: random.IntN(1 << 10),
			duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
		}
		repeats := 1
		if random.IntN(burstOdds) == 0 {
			repeats = 3
		}
		for i := range repeats {
			next := f
			next.at += time.Duration(i) * meanInterval
			next.host = (f.host + i) % hosts
			faults = append(faults, next)
		}
	}
	return faults
}
