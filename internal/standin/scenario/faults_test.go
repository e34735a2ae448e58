package scenario

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// slowTime is how long a call takes that a backend server answers slowly. It is
// longer than a node waits for anything but calls when it stops.
const slowTime = 4 * time.Second

// storeFaults: store ok|down|slow MS|lose PERCENT|old PERCENT switches faults;
// store reset starts its counts anew; store calls MAX [peak MAX] checks them.
func (r *run) storeFaults(ts *testscript.TestScript, _ bool, args []string) {
	number := 0
	if len(args) > 1 {
		parsed, err := strconv.Atoi(args[1])
		ts.Check(err)
		number = parsed
	}
	switch args[0] {
	case "reset":
		ts.Check(r.fleet.ResetStoreCounts(r.ctx))
	case "peak":
		counts, err := r.fleet.StoreCounts(r.ctx)
		ts.Check(err)
		ts.Logf("store: peak %d calls in a second, %d in all, %v", counts.PeakPerSecond, counts.Total, counts.ByKind)
		if counts.PeakPerSecond > uint64(number) {
			ts.Fatalf("the store had %d calls in one second; the limit is %d", counts.PeakPerSecond, number)
		}
	default:
		faults := map[string]store.Faults{
			"ok": {}, "down": {Down: true}, "slow": {DelayMs: number},
			"lose": {LostResponsesPercent: number}, "old": {StaleReadsPercent: number},
		}
		ts.Check(r.fleet.SetStoreFaults(r.ctx, faults[args[0]]))
	}
}

// link: link cut|freeze|open A B sets the state between hosts, failure domains
// or regions.
func (r *run) link(ts *testscript.TestScript, _ bool, args []string) {
	states := map[string]string{"cut": "cut", "freeze": "frozen", "open": "open"}
	ts.Check(r.fleet.SetLink(r.ctx, args[1], args[2], states[args[0]]))
}

// behave: behave HOSTS crash|slow|stop-after|fail-fast|shed|ok VALUE changes
// what backend servers do wrong.
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
		behaviour.SlowBody, behaviour.SlowTime = value, slowTime
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
