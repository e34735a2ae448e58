// Package measure runs deployments of several sizes as separate processes and prints
// measured figures, one "name value unit" per line.
package measure

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Options are the command line arguments of the measurement.
type Options struct {
	Bin         string        `arg:"--bin" default:"bin" help:"directory of the programs"`
	Deployments []string      `arg:"--deployment,separate" help:"flaggsyeri or dalhems; both when absent"`
	Scales      []int         `arg:"--scale,separate" help:"multiples of the 13 nodes; 1, 3 and 8 when absent"`
	Parts       []string      `arg:"--part,separate" help:"control, faults, baseline or calls; all when absent"`
	Changes     int           `arg:"--changes" default:"40" help:"changes for each convergence figure"`
	IdlePeriod  time.Duration `arg:"--quiet" default:"8s" help:"length of the quiet period"`
	Batch       time.Duration `arg:"--batch" default:"0s" help:"batch setting of the nodes"`
	// OpenStore connects the nodes of the baseline to the store.
	OpenStore store.Opener `arg:"-"`
}

func (o *Options) setDefaults() {
	if len(o.Deployments) == 0 {
		o.Deployments = []string{"flaggsyeri", "dalhems"}
	}
	if len(o.Scales) == 0 {
		o.Scales = []int{1, 3, 8}
	}
	if len(o.Parts) == 0 {
		o.Parts = []string{"control", "faults", "baseline", "calls"}
	}
}
