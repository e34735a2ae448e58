package scenario

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// scriptLimit is the maximum duration of a script.
const scriptLimit = 3 * time.Minute

// runKey is the key of the run in the values of a script's environment.
type runKey struct{}

// run is the state of one script.
type run struct {
	ctx            context.Context
	fleet          *fleet.Fleet
	dir            string
	runningCallers map[string]*fleet.Process

	// outcomes holds the outcome that callers saw for each order, by key.
	outcomes map[string]string

	// stoppedNodes holds the hosts whose node was killed, frozen or terminated.
	stoppedNodes map[string]bool

	// baseDocument is the last document written by the operators' tool; nextVersion
	// counts the versions written without the tool.
	baseDocument []byte
	nextVersion  uint64

	mu sync.Mutex
	// regressions describes the nodes that went back to an older version.
	regressions []string
	cancelWatch context.CancelFunc
	watchers    sync.WaitGroup
}

func setup(env *testscript.Env) error {
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	r := &run{ctx: ctx, dir: env.WorkDir, runningCallers: make(map[string]*fleet.Process)}
	env.Values[runKey{}] = r
	env.Defer(func() {
		cancel()
		r.watchers.Wait()
		if r.fleet != nil {
			r.fleet.Stop()
		}
		for _, process := range r.runningCallers {
			process.Kill()
		}
	})
	return nil
}

// withRun adapts a method of run to a command of the scripts.
func withRun(command func(*run, *testscript.TestScript, bool, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		command(ts.Value(runKey{}).(*run), ts, neg, args)
	}
}

// fleetCommand: fleet DEPLOYMENT [direct] starts a deployment, with direct
// without the link stand-in. $TARGETS holds the path of its target file.
func (r *run) fleetCommand(ts *testscript.TestScript, _ bool, args []string) {
	deployment, err := fleet.ByName(args[0])
	ts.Check(err)
	options := fleet.Options{Deployment: deployment, Bin: binDir, Dir: r.dir, ServiceTime: 5 * time.Millisecond}
	for _, option := range args[1:] {
		options.Direct = options.Direct || option == "direct"
	}
	r.fleet, err = fleet.New(options)
	ts.Check(err)
	ts.Check(r.fleet.Start(r.ctx))
	examples, err := filepath.Abs(filepath.Join("..", "..", "..", "examples"))
	ts.Check(err)
	ts.Setenv("TARGETS", filepath.Join(examples, deployment.Name+"-targets.ini"))
}

// hosts returns the hosts selected by a name: a host, a failure domain, a region,
// "readers", "alive" (the first host whose node is running), "every-third" or
// "all".
func (r *run) hosts(ts *testscript.TestScript, name string) []*fleet.Host {
	var selected []*fleet.Host
	for i, host := range r.fleet.Hosts {
		if name == "alive" && host == r.firstRunning() || name == "readers" && r.isReader(host) || name == "all" || name == "every-third" && i%3 == 0 ||
			name == host.Name || name == host.FailureDomain || name == host.Region {
			selected = append(selected, host)
		}
	}
	if len(selected) == 0 {
		ts.Fatalf("%q selects no host", name)
	}
	return selected
}

func (r *run) isReader(host *fleet.Host) bool {
	report, err := host.Operator().Host(r.ctx, "")
	return err == nil && report.Role == "reader"
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "wake": syscall.SIGCONT, "terminate": syscall.SIGTERM,
}

// signal: signal kill|freeze|wake|terminate node|server HOSTS sends a signal.
// $SIGNALLED lists the hosts.
func (r *run) signal(ts *testscript.TestScript, _ bool, args []string) {
	selected := r.hostList(ts, args[2])
	var names []string
	for _, host := range selected {
		r.process(host, args[1]).Signal(signals[args[0]])
		r.recordSignal(host, args[0], args[1])
		names = append(names, host.Name)
	}
	ts.Setenv("SIGNALLED", strings.Join(names, ","))
}

func (r *run) process(host *fleet.Host, kind string) *fleet.Process {
	if kind == "server" {
		return host.Server
	}
	return host.Node
}

// start: start node|server HOSTS restarts programs that exited. HOSTS may be a
// comma-separated list.
func (r *run) start(ts *testscript.TestScript, _ bool, args []string) {
	for _, host := range r.hostList(ts, args[1]) {
		process := r.process(host, args[0])
		if !process.Wait(5 * time.Second) {
			ts.Fatalf("%s is still running after 5 s", process.Name)
		}
		ts.Check(process.Start())
		r.recordSignal(host, "start", args[0])
	}
}

// recordSignal tracks which nodes are running.
func (r *run) recordSignal(host *fleet.Host, signal, kind string) {
	if kind != "node" {
		return
	}
	if r.stoppedNodes == nil {
		r.stoppedNodes = make(map[string]bool)
	}
	r.stoppedNodes[host.Name] = signal != "wake" && signal != "start"
}

// firstRunning returns the first host whose node is running; the first of all if
// there is none.
func (r *run) firstRunning() *fleet.Host {
	for _, host := range r.fleet.Hosts {
		if !r.stoppedNodes[host.Name] {
			return host
		}
	}
	return r.fleet.Hosts[0]
}

// hostList returns the hosts of a comma-separated list.
func (r *run) hostList(ts *testscript.TestScript, list string) []*fleet.Host {
	var selected []*fleet.Host
	for name := range strings.SplitSeq(list, ",") {
		selected = append(selected, r.hosts(ts, name)...)
	}
	return selected
}

// tool: [!] tool [via=HOST] ARGUMENTS runs the operators' tool. $OUTPUT and the
// file "output" hold what it printed.
func (r *run) tool(ts *testscript.TestScript, neg bool, args []string) {
	address := r.fleet.Hosts[1].OperatorAddress()
	if via, found := strings.CutPrefix(args[0], "via="); found {
		address = r.hosts(ts, via)[0].OperatorAddress()
		args = args[1:]
	}
	command := exec.CommandContext(r.ctx, filepath.Join(binDir, "rosemaryladder"), append(args, "--node", address)...)
	command.Dir = r.dir
	output, err := command.CombinedOutput()
	ts.Logf("%s", output)
	ts.Setenv("OUTPUT", string(output))
	ts.Check(writeFile(r.dir, "output", output))
	if (err != nil) != neg {
		ts.Fatalf("rosemaryladder %v: %v", args, err)
	}
}
