package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind names a fault.
type kind string

// The faults of a host and of what all hosts share.
const (
	kill        kind = "kill"
	freeze      kind = "freeze"
	terminate   kind = "terminate"
	reload      kind = "reload"
	gateFault   kind = "gate"
	storeFault  kind = "store link"
	serverFault kind = "server link"
	crash       kind = "crash server"
	replace     kind = "replace server"
	storeDown   kind = "store down"
	storeLoses  kind = "store loses answers"
	compact     kind = "drop history"
	revoke      kind = "end leases"
	configure   kind = "configure"
)

var kinds = []kind{
	kill, freeze, terminate, reload, gateFault, storeFault, serverFault, crash, replace,
	storeDown, storeLoses, compact, revoke, configure, configure,
}

// fault is one entry of a plan.
type fault struct {
	at   time.Duration
	kind kind
	host int
	// lasts is how long the fault stays, where it does.
	lasts time.Duration
	// variant selects one of the proxies' faults.
	variant int
}

const (
	// meanPause is the average time between two faults, below their duration, so that
	// they overlap.
	meanPause = 500 * time.Millisecond
	// shortest and longest bound how long a fault stays.
	shortest = 200 * time.Millisecond
	longest  = 3 * time.Second
	// seriesOfThree is the chance, one in so many, that a fault comes three times.
	seriesOfThree = 4
)

// plan returns the faults of a seed in the order of their times.
func plan(seed uint64, hosts int, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []fault
	for at := time.Duration(0); at < span; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		f := fault{
			at: at, kind: kinds[random.IntN(len(kinds))], host: random.IntN(hosts), variant: random.IntN(1 << 10),
			lasts: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
		}
		repeats := 1
		if random.IntN(seriesOfThree) == 0 {
			repeats = 3
		}
		for i := range repeats {
			next := f
			next.at += time.Duration(i) * meanPause
			next.host = (f.host + i) % hosts
			faults = append(faults, next)
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}
