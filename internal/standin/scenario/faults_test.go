package scenario

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// slowServiceTime is the service time of a slow call. It exceeds every timeout of
// a stopping node other than the one for calls.
const slowServiceTime = 4 * time.Second

// storeCommand: store ok|down|slow MS|lose PERCENT|old PERCENT sets the faults of
// the store; store copy keeps a copy of its state and store restore goes back to it;
// store reset resets its counts; store peak MAX fails if it got more than MAX calls in
// one second.
func (r *run) storeCommand(ts *testscript.TestScript, _ bool, args []string) {
	number := 0
	if len(args) > 1 {
		parsed, err := strconv.Atoi(args[1])
		ts.Check(err)
		number = parsed
	}
	switch args[0] {
	case "copy":
		ts.Check(r.fleet.CopyStore(r.ctx))
	case "restore":
		ts.Check(r.fleet.RestoreStore(r.ctx))
	case "reset":
		ts.Check(r.fleet.ResetStoreCounts(r.ctx))
	case "peak":
		counts, err := r.fleet.StoreCounts(r.ctx)
		ts.Check(err)
		ts.Logf("store: peak %d calls/s, %d calls in total, by kind %v", counts.PeakPerSecond, counts.Total, counts.ByKind)
		if counts.PeakPerSecond > uint64(number) {
			ts.Fatalf("the store got %d calls in one second; the limit is %d", counts.PeakPerSecond, number)
		}
	default:
		faults := map[string]store.Faults{
			"ok": {}, "down": {Down: true}, "slow": {DelayMs: number},
			"lose": {LostResponsesPercent: number}, "old": {StaleReadsPercent: number},
		}
		ts.Check(r.fleet.SetStoreFaults(r.ctx, faults[args[0]]))
	}
}

// link: link cut|freeze|open A B sets the state of the network between two hosts,
// failure domains or regions.
func (r *run) link(ts *testscript.TestScript, _ bool, args []string) {
	states := map[string]string{"cut": "cut", "freeze": "frozen", "open": "open"}
	ts.Check(r.fleet.SetLink(r.ctx, args[1], args[2], states[args[0]]))
}

// behave: behave HOSTS crash|slow|stop-after|fail-fast|shed|ok VALUE sets the
// faults of backend servers.
func (r *run) behave(ts *testscript.TestScript, _ bool, args []string) {
	var behaviour backend.Behaviour
	value := ""
	if len(args) > 2 {
		value = args[2]
	}
	number, _ := strconv.Atoi(value)
	switch args[1] {
	case "crash":
		behaviour.CrashBody = value
	case "slow":
		behaviour.SlowBody, behaviour.SlowTime = value, slowServiceTime
	case "stop-after":
		behaviour.StopAfter = int64(number)
	case "fail-fast":
		behaviour.FailFast = true
	case "shed":
		behaviour.ShedPercent = number
	}
	for _, host := range r.hosts(ts, args[0]) {
		ts.Check(host.SetBehaviour(r.ctx, behaviour))
	}
}
