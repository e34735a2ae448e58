package config_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// sampleTarget returns a valid target whose path is unique to the name.
func sampleTarget(name string) config.Target {
	return config.Target{
		Name: name, Service: "orderdesk", Methods: []string{"GET", "POST"}, Path: "/" + name,
		Deadline: 400 * time.Millisecond, Latency: 80 * time.Millisecond, LatencyPercent: 99,
		SuccessPercent: 99.9, Priority: config.PriorityOrder,
	}
}

func drawTarget(t *rapid.T) config.Target {
	target := sampleTarget(fmt.Sprintf("t%d", rapid.IntRange(0, 9).Draw(t, "target")))
	target.Latency = time.Duration(rapid.IntRange(1, 400).Draw(t, "latency")) * time.Millisecond
	target.SuccessPercent = rapid.Float64Range(0.1, 99.999).Draw(t, "success")
	target.Idempotent = rapid.Bool().Draw(t, "idempotent")
	return target
}

func drawStop(t *rapid.T) config.Stop {
	at := time.Date(2027, 5, 17, 0, 0, rapid.IntRange(0, 9).Draw(t, "at"), 0, time.UTC)
	return config.Stop{ID: fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "stop")), Scope: config.StopScope{Host: "h1"}, At: at, Grace: time.Minute, Reason: "loom service"}
}

// drawChange returns a random change that is valid for the snapshot.
func drawChange(t *rapid.T, base *config.Snapshot) config.Change {
	change := config.Change{ID: fmt.Sprint("change-", base.Version()+1)}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		change.Stops = []config.StopUpsert{{Stop: drawStop(t)}}
	case 1:
		if targets := base.Document().Targets; len(targets) > 0 {
			change.DeleteTargets = []config.Deletion{{Name: rapid.SampledFrom(targets).Draw(t, "deleted").Name}}
			return change
		}
		fallthrough
	default:
		change.Targets = []config.TargetUpsert{{Target: drawTarget(t)}}
	}
	return change
}

// drawSnapshots returns the snapshots that n random changes produce, starting
// with the empty one. Changes that alter nothing add no snapshot.
func drawSnapshots(t *rapid.T, n int) []*config.Snapshot {
	snapshots := []*config.Snapshot{config.EmptySnapshot()}
	for range n {
		last := snapshots[len(snapshots)-1]
		next, err := config.Apply(last, drawChange(t, last), config.Rules{})
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		if next != last {
			snapshots = append(snapshots, next)
		}
	}
	return snapshots
}
