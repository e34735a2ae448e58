// Package burn counts outcomes and latencies by target and region and computes
// how fast each target uses its error budget.
//
// It owns the windows of its node and the reports of the nodes below it. Lost
// reports make the sums older, never wrong.
package burn

import "time"

// Recorder counts the outcome of calls.
type Recorder interface {
	// Record counts one call of a target.
	Record(target string, elapsed time.Duration, success bool)
}
