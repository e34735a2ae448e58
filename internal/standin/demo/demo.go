// Package demo runs one deployment with callers in both regions, changes its
// configuration, kills a backend server, plans a stop and reports the outcomes of
// the calls.
package demo

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// Options are the command line arguments of the demo.
type Options struct {
	Bin        string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Deployment string        `arg:"--deployment" default:"flaggsyeri" help:"flaggsyeri or dalhems"`
	Examples   string        `arg:"--examples" default:"examples" help:"directory of the target files"`
	Duration   time.Duration `arg:"--duration" default:"20s" help:"how long the callers send"`
}

// startTimeout limits the start of the fleet.
const startTimeout = 20 * time.Second

// demo is one run.
type demo struct {
	options Options
	fleet   *fleet.Fleet
	dir     string
}

// Run runs the demo. It returns an error if a step fails or if calls were lost,
// duplicated or truncated.
func Run(ctx context.Context, options Options) error {
	dir, err := os.MkdirTemp("", "rosemaryladder-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	deployment, err := fleet.ByName(options.Deployment)
	if err != nil {
		return err
	}
	started, err := fleet.New(fleet.Options{Deployment: deployment, Bin: options.Bin, Dir: dir, ServiceTime: 5 * time.Millisecond})
	if err != nil {
		return err
	}
	defer started.Stop()
	d := &demo{options: options, fleet: started, dir: dir}
	return d.run(ctx)
}

func (d *demo) run(ctx context.Context) error {
	startedAt := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.Start(startCtx); err != nil {
		return err
	}
	fmt.Printf("== %d nodes of %s ready after %s\n", len(d.fleet.Hosts), d.options.Deployment, time.Since(startedAt).Round(time.Millisecond))
	targets := filepath.Join(d.options.Examples, d.options.Deployment+"-targets.ini")
	if err := d.tool("declare the targets", "target", "apply", "-f", targets, "--wait", "5s"); err != nil {
		return err
	}
	callers, err := d.startCallers()
	if err != nil {
		return err
	}
	if err := d.disrupt(targets); err != nil {
		return err
	}
	totals, err := d.collect(callers)
	if err != nil {
		return err
	}
	if err := d.tool("report the burn", "report", "burn"); err != nil {
		return err
	}
	return totals.verdict()
}

// disrupt changes a target, kills a backend server and plans a stop while the callers
// send.
func (d *demo) disrupt(targets string) error {
	time.Sleep(d.options.Duration / 8)
	revised, err := d.revise(targets)
	if err != nil {
		return err
	}
	if err := d.tool("revise a target", "target", "apply", "-f", revised, "--wait", "5s"); err != nil {
		return err
	}
	killed := d.firstHost(fleet.Lookup)
	fmt.Printf("== kill the backend server of %s\n", killed.Name)
	killed.Server.Kill()
	time.Sleep(d.options.Duration / 8)
	drained := d.firstHost(fleet.Download)
	if err := d.tool("plan a stop", "stop", "plan", "--id", "demo-stop", "--host", drained.Name, "--at", "1s", "--grace", "5s", "--wait", "5s"); err != nil {
		return err
	}
	time.Sleep(d.options.Duration / 4)
	if err := d.tool("list the stops", "stop", "list"); err != nil {
		return err
	}
	return d.tool("show the fleet", "status")
}

func (d *demo) firstHost(class fleet.Class) *fleet.Host {
	return d.fleet.Host(d.fleet.Options.Deployment.Service(class).Name + "-1")
}

// revise writes a copy of a target file with a longer deadline and returns its path.
func (d *demo) revise(targets string) (string, error) {
	data, err := os.ReadFile(targets)
	if err != nil {
		return "", err
	}
	path := filepath.Join(d.dir, "revised.ini")
	return path, os.WriteFile(path, revisedTargets(data), 0o600)
}

// tool runs the operators' tool and prints its output.
func (d *demo) tool(title string, args ...string) error {
	fmt.Printf("== %s: rosemaryladder %v\n", title, args)
	command := exec.Command(filepath.Join(d.options.Bin, "rosemaryladder"), args...)
	for _, host := range d.fleet.Hosts[:3] {
		command.Args = append(command.Args, "--node", host.OperatorAddress())
	}
	command.Stdout = os.Stdout
	command.Stderr = os.Stdout
	if err := command.Run(); err != nil {
		return fmt.Errorf("%s: %w", title, err)
	}
	return nil
}
