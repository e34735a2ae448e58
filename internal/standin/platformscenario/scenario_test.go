package platformscenario

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// program is the sidecar that the scenarios run.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the sidecar once for all scenarios.
func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "sidecar")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	program = filepath.Join(folder, "rosemaryladder-sidecar")
	build := exec.Command("go", "build", "-o", program, "rosemaryladder.dev/rosemaryladder/cmd/rosemaryladder-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// world is the deployment of one script.
type world struct {
	deployment *Deployment
	load       *Load
}

const worldKey = "world"

// TestScenarios runs the scripts of testdata. They guard against requests that are
// lost, doubled, truncated or refused falsely while processes and the store fail.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			w := &world{}
			env.Values[worldKey] = w
			env.Defer(func() {
				if w.deployment != nil {
					w.deployment.Close()
				}
			})
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"deploy": deploy, "configure": configure, "ready": ready, "load": load, "check": check,
			"signal": signal, "node": node, "store": storeCommand, "app": appCommand, "pause": pause, "poison": poison,
		},
	})
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey).(*world) }

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// deploy HOSTS starts a deployment.
func deploy(ts *testscript.TestScript, _ bool, args []string) {
	d, err := Start(program, ts.MkAbs("."), number(ts, args[0]))
	ts.Check(err)
	worldOf(ts).deployment = d
}

// configure VERSION [ROUTES] writes a configuration.
func configure(ts *testscript.TestScript, _ bool, args []string) {
	further := 0
	if len(args) > 1 {
		further = number(ts, args[1])
	}
	worldOf(ts).deployment.Configure(number(ts, args[0]), further)
}

// ready HOST... waits until the hosts take requests.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(15 * time.Second)
	for _, arg := range args {
		for !worldOf(ts).deployment.Ready(number(ts, arg)) {
			if time.Now().After(deadline) {
				logTail(ts, number(ts, arg))
				ts.Fatalf("host %s is not ready", arg)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// tailBytes is how much of a sidecar's log a failure shows.
const tailBytes = 3000

// logTail shows the end of a sidecar's log.
func logTail(ts *testscript.TestScript, number int) {
	data, err := os.ReadFile(worldOf(ts).deployment.LogFile(number))
	ts.Check(err)
	ts.Logf("%s", data[max(0, len(data)-tailBytes):])
}

// load CALLERS starts callers.
func load(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	w.load = w.deployment.StartLoad(number(ts, args[0]))
}

// check [failed] stops the callers; without "failed" no request may have failed.
func check(ts *testscript.TestScript, _ bool, args []string) {
	l := worldOf(ts).load
	l.Stop()
	ts.Logf("sent %d, served %d, refused %d, failed %d", l.Sent, l.Served, l.Refused, l.Failed)
	for _, wrong := range l.Violations {
		ts.Logf("%s", wrong)
	}
	if l.Served*2 < l.Sent {
		for i := range worldOf(ts).deployment.hosts {
			logTail(ts, i)
		}
	}
	if len(l.Violations) > 0 || (l.Failed > 0 && len(args) == 0) || l.Served*2 < l.Sent {
		ts.Fatalf("%d wrong, %d failed, %d of %d served", len(l.Violations), l.Failed, l.Served, l.Sent)
	}
}

// signal HOST term|kill|stop|cont|hup signals a sidecar.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"term": syscall.SIGTERM, "kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "hup": syscall.SIGHUP,
	}
	ts.Check(worldOf(ts).deployment.Signal(number(ts, args[0]), signals[args[1]]))
}

// node HOST exited|start waits for the end of a sidecar or starts it.
func node(ts *testscript.TestScript, _ bool, args []string) {
	d, n := worldOf(ts).deployment, number(ts, args[0])
	if args[1] == "start" {
		ts.Check(d.StartNode(n))
		return
	}
	// The platform's grace is 6 s.
	ts.Check(d.WaitExit(n, 6*time.Second))
}

// storeCommand: store down|up|compact|revoke makes the store fail.
func storeCommand(ts *testscript.TestScript, _ bool, args []string) {
	server := worldOf(ts).deployment.Store
	switch args[0] {
	case "down", "up":
		server.SetFaults(store.Faults{Unavailable: args[0] == "down"})
	case "compact":
		server.State().Compact()
	case "revoke":
		server.State().RevokeAll()
	}
}

// poison HOST CRASHES repeats a request that ends servers, starts each server again,
// and fails unless the request is refused after the number of crashes.
func poison(ts *testscript.TestScript, _ bool, args []string) {
	d, host, limit := worldOf(ts).deployment, number(ts, args[0]), number(ts, args[1])
	for crashes := 0; ; crashes++ {
		status, err := d.sendPoison(host, crashes)
		ts.Check(err)
		crashed := d.Crashed()
		if status == http.StatusServiceUnavailable && len(crashed) == 0 && crashes == limit {
			return
		}
		if len(crashed) != 1 || crashes >= limit {
			ts.Fatalf("send %d was answered %d and ended %d servers", crashes, status, len(crashed))
		}
		// Crashes within a second count as one, and a server is back after a while.
		time.Sleep(restartTime)
		ts.Check(d.StartApp(crashed[0]))
		time.Sleep(time.Second)
	}
}

// restartTime is how long a server that was ended stays away.
const restartTime = 500 * time.Millisecond

// app HOST drain|stop|start changes a backend server.
func appCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, n := worldOf(ts).deployment, number(ts, args[0])
	switch args[1] {
	case "stop":
		d.StopApp(n)
	case "start":
		ts.Check(d.StartApp(n))
	case "drain":
		d.App(n).Drain()
	case "drained":
		ts.Check(drained(d, n))
	}
}

// drained reports a server that was not acknowledged or got work afterwards.
func drained(d *Deployment, n int) error {
	if !d.App(n).Acknowledged() {
		return fmt.Errorf("the leaving of host %d's server was not acknowledged", n)
	}
	if late := d.App(n).LateRequests(); late > 0 {
		return fmt.Errorf("%d requests reached the server of host %d after its leaving was acknowledged", late, n)
	}
	return nil
}

// pause DURATION waits.
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
