package measure

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// startTimeout limits the start of a fleet.
const startTimeout = time.Minute

// measurement measures one fleet.
type measurement struct {
	options Options
	fleet   *fleet.Fleet
	changes int
	// idleRegionBytesPerSecond is the control traffic between regions in an idle
	// period.
	idleRegionBytesPerSecond float64
}

// Run measures every deployment at every scale and prints the figures.
func Run(ctx context.Context, options Options) error {
	options.setDefaults()
	for _, name := range options.Deployments {
		deployment, err := fleet.ByName(name)
		if err != nil {
			return err
		}
		for _, scale := range options.Scales {
			if err := runOne(ctx, options, deployment, scale); err != nil {
				return err
			}
		}
	}
	return nil
}

func runOne(ctx context.Context, options Options, deployment fleet.Deployment, scale int) error {
	scaled := deployment.Scaled(scale)
	control := fleet.Options{Deployment: scaled, Bin: options.Bin, Batch: options.Batch, ServiceTime: 5 * time.Millisecond}
	err := withFleet(ctx, options, control, func(m *measurement) error {
		m.print("nodes", float64(len(m.fleet.Hosts)), "nodes")
		return m.controlParts(ctx, scale == 1)
	})
	if err != nil || scale != 1 || !slices.Contains(options.Parts, "calls") {
		return err
	}
	direct := fleet.Options{Deployment: scaled, Bin: options.Bin, ServiceTime: callServiceTime, Direct: true}
	return withFleet(ctx, options, direct, func(m *measurement) error { return m.calls(ctx) })
}

func withFleet(ctx context.Context, options Options, run fleet.Options, measure func(*measurement) error) error {
	dir, err := os.MkdirTemp("", "rosemaryladder-measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	run.Dir = dir
	started, err := fleet.New(run)
	if err != nil {
		return err
	}
	defer started.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := started.Start(startCtx); err != nil {
		return err
	}
	m := &measurement{options: options, fleet: started}
	if err := m.declareTargets(ctx); err != nil {
		return err
	}
	return measure(m)
}

// controlParts runs the measurements that need no calls. Without full it omits the
// faults.
func (m *measurement) controlParts(ctx context.Context, full bool) error {
	parts := []struct {
		name string
		run  func(context.Context) error
	}{
		{"control", m.idleCost}, {"control", m.convergence}, {"baseline", m.baseline}, {"faults", m.faults}, {"faults", m.simultaneousRestart},
	}
	for _, part := range parts {
		if !slices.Contains(m.options.Parts, part.name) || part.name == "faults" && !full {
			continue
		}
		if err := part.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// print prints one figure.
func (m *measurement) print(name string, value float64, unit string) {
	fmt.Printf("%s_%d_%s %.4g %s\n", m.fleet.Options.Deployment.Name, len(m.fleet.Hosts), name, value, unit)
}

// percentile returns the value below which the given share of the values lies, or 0
// without values.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
