// Package burn counts outcomes and latencies of calls by target and region and
// computes the burn rate of each target's error budget.
//
// It owns the counts of its node and the reports of its child nodes. A lost
// report makes the totals older but never incorrect.
package burn

import "time"

// Recorder counts the outcomes of calls.
type Recorder interface {
	// Record counts one call of a target with its duration and outcome.
	Record(target string, elapsed time.Duration, success bool)
}
