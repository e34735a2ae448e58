package platformscenario

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// program is the path of the sidecar binary.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the sidecar once for all scenarios.
func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "sidecar")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	program = filepath.Join(directory, "rosemaryladder-sidecar")
	build := exec.Command("go", "build", "-o", program, "rosemaryladder.dev/rosemaryladder/cmd/rosemaryladder-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// scenarioState is the deployment and the load of one script.
type scenarioState struct {
	deployment *Deployment
	load       *Load
	// copied is the copy of the store from which it is restored.
	copied store.Snapshot
}

const stateKey = "state"

// TestScenarios runs the scripts of testdata. They guard against requests that are
// lost, executed twice, truncated or reported as not run although they ran, while
// processes and the store fail.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			state := &scenarioState{}
			env.Values[stateKey] = state
			env.Defer(func() {
				if state.deployment != nil {
					state.deployment.Close()
				}
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"deploy": deploy, "configure": configure, "ready": ready, "load": load, "check": check,
			"signal": signal, "node": node, "store": storeCommand, "app": appCommand, "pause": pause, "poison": poison, "route": routeCommand,
		},
	})
}

func stateOf(ts *testscript.TestScript) *scenarioState { return ts.Value(stateKey).(*scenarioState) }

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// deploy HOSTS starts a deployment.
func deploy(ts *testscript.TestScript, _ bool, args []string) {
	d, err := Start(program, ts.MkAbs("."), parseInt(ts, args[0]))
	ts.Check(err)
	stateOf(ts).deployment = d
}

// configure VERSION [ROUTES] writes a configuration.
func configure(ts *testscript.TestScript, _ bool, args []string) {
	extraRoutes := 0
	if len(args) > 1 {
		extraRoutes = parseInt(ts, args[1])
	}
	stateOf(ts).deployment.Configure(parseInt(ts, args[0]), extraRoutes)
}

// ready HOST... waits until the hosts accept requests.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(15 * time.Second)
	for _, arg := range args {
		for !stateOf(ts).deployment.Ready(parseInt(ts, arg)) {
			if time.Now().After(deadline) {
				logTail(ts, parseInt(ts, arg))
				ts.Fatalf("host %s is not ready within 15 s", arg)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// logTailBytes is how much of a sidecar's log is shown on a failure.
const logTailBytes = 3000

// logTail prints the end of a sidecar's log.
func logTail(ts *testscript.TestScript, host int) {
	data, err := os.ReadFile(stateOf(ts).deployment.LogFile(host))
	ts.Check(err)
	ts.Logf("%s", data[max(0, len(data)-logTailBytes):])
}

// logLines prints the lines of all sidecars' logs that contain one of the texts.
func logLines(ts *testscript.TestScript, texts ...string) {
	for host := range stateOf(ts).deployment.hosts {
		data, err := os.ReadFile(stateOf(ts).deployment.LogFile(host))
		ts.Check(err)
		for line := range strings.Lines(string(data)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				ts.Logf("host %d: %s", host, line)
			}
		}
	}
}

// load CALLERS starts callers.
func load(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	state.load = state.deployment.StartLoad(parseInt(ts, args[0]))
}

// check [failed] stops the callers and fails if the load reports a violation or
// served fewer than half of the requests. Without "failed" no request may have
// failed.
func check(ts *testscript.TestScript, _ bool, args []string) {
	l := stateOf(ts).load
	l.Stop()
	ts.Logf("sent %d, served %d, refused %d, failed %d", l.Sent, l.Served, l.Refused, l.Failed)
	for _, violation := range l.Violations {
		ts.Logf("%s", violation)
	}
	if l.Served*2 < l.Sent {
		for i := range stateOf(ts).deployment.hosts {
			logTail(ts, i)
		}
	}
	if len(l.Violations) > 0 || (l.Failed > 0 && len(args) == 0) || l.Served*2 < l.Sent {
		ts.Fatalf("%d violations, %d requests failed, %d of %d served", len(l.Violations), l.Failed, l.Served, l.Sent)
	}
}

// signal HOST term|kill|stop|cont|hup sends a signal to a sidecar.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"term": syscall.SIGTERM, "kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "hup": syscall.SIGHUP,
	}
	ts.Check(stateOf(ts).deployment.Signal(parseInt(ts, args[0]), signals[args[1]]))
}

// node HOST exited|start waits until a sidecar has exited, or starts it.
func node(ts *testscript.TestScript, _ bool, args []string) {
	d, n := stateOf(ts).deployment, parseInt(ts, args[0])
	if args[1] == "start" {
		ts.Check(d.StartNode(n))
		return
	}
	// The platform's termination grace period is 6 s.
	ts.Check(d.WaitExit(n, 6*time.Second))
}

// storeCommand: store down|up|compact|revoke|copy|restore makes the store unavailable
// or available, drops its history, revokes all leases, copies it, or restores it from
// the copy.
func storeCommand(ts *testscript.TestScript, _ bool, args []string) {
	server := stateOf(ts).deployment.Store
	switch args[0] {
	case "down", "up":
		server.SetFaults(store.Faults{Unavailable: args[0] == "down"})
	case "compact":
		server.State().Compact()
	case "revoke":
		server.State().RevokeAll()
	case "copy":
		stateOf(ts).copied = server.State().Snapshot()
	case "restore":
		server.State().Restore(stateOf(ts).copied)
	}
}

// poison HOST CRASHES repeats a request that crashes backend servers, restarts each
// crashed server, and fails unless the request is refused after exactly that number
// of crashes.
func poison(ts *testscript.TestScript, _ bool, args []string) {
	d, host, limit := stateOf(ts).deployment, parseInt(ts, args[0]), parseInt(ts, args[1])
	for crashes := 0; ; crashes++ {
		status, err := d.sendPoison(host, crashes)
		ts.Check(err)
		crashed := d.Crashed()
		if status == http.StatusServiceUnavailable && len(crashed) == 0 && crashes == limit {
			return
		}
		if len(crashed) != 1 || crashes >= limit {
			logLines(ts, "server changed", "server ended", "poison")
			ts.Fatalf("after %d crashes the request got status %d and crashed %d servers; want a refusal with 503 after %d crashes", crashes, status, len(crashed), limit)
		}
		time.Sleep(restartDelay)
		ts.Check(d.StartApp(crashed[0]))
		// The record of the crash must reach the other nodes.
		time.Sleep(time.Second)
	}
}

// restartDelay is the time from a crash to the restart of the server.
const restartDelay = 500 * time.Millisecond

// appCommand: app HOST drain|drained|silent|late|stop|start drains, stops or starts a
// backend server, checks that its drain was acknowledged and effective, ends its
// check-ins, or has an early check-in of it arrive late.
func appCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, n := stateOf(ts).deployment, parseInt(ts, args[0])
	switch args[1] {
	case "stop":
		d.StopApp(n)
	case "start":
		ts.Check(d.StartApp(n))
	case "drain":
		d.App(n).Drain()
	case "silent":
		d.App(n).Silence()
	case "late":
		ts.Check(d.App(n).SendLateCheckIn())
	case "drained":
		ts.Check(checkDrained(d, n))
	}
}

// checkDrained returns an error if the drain of a backend server was not
// acknowledged, or if requests were sent to the server afterwards.
func checkDrained(d *Deployment, n int) error {
	if !d.App(n).Acknowledged() {
		return fmt.Errorf("the drain of the server of host %d was not acknowledged", n)
	}
	if late := d.App(n).LateRequests(); late > 0 {
		return fmt.Errorf("%d requests were sent to the server of host %d after its drain was acknowledged", late, n)
	}
	return nil
}

// pause DURATION waits.
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
