package admit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestControllerProperties guards against a slot leaked when a call is
// cancelled while it gets the slot, an Acquire that never returns, and a drain
// that completes too early or never. It runs on virtual time.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 1, 60).Draw(rt, "plans")
		drainAfter := time.Duration(rapid.IntRange(0, 30).Draw(rt, "drain")) * time.Millisecond
		var fault string
		synctest.Test(t, func(*testing.T) { fault = runPlans(plans, drainAfter) })
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// callPlan is one call of TestControllerProperties.
type callPlan struct {
	priority                config.Priority
	start, timeout, service time.Duration
}

func drawPlan(t *rapid.T) callPlan {
	return callPlan{
		priority: rapid.SampledFrom(priorities).Draw(t, "priority"),
		start:    time.Duration(rapid.IntRange(0, 20).Draw(t, "start")) * time.Millisecond,
		timeout:  time.Duration(rapid.IntRange(1, 20).Draw(t, "timeout")) * time.Millisecond,
		service:  time.Duration(rapid.IntRange(0, 10).Draw(t, "service")) * time.Millisecond,
	}
}

func runPlans(plans []callPlan, drainAfter time.Duration) string {
	const slots = 4
	controller := NewController(time.Now)
	controller.Open(Capacity{Slots: slots, Connections: slots, ReadySince: time.Now().Add(-time.Minute)})
	var calls sync.WaitGroup
	var running, overLimit atomic.Int64
	for _, plan := range plans {
		calls.Go(func() {
			time.Sleep(plan.start)
			ctx, cancel := context.WithTimeout(context.Background(), plan.timeout)
			defer cancel()
			release, err := controller.Acquire(ctx, plan.priority)
			if err != nil {
				return
			}
			if running.Add(1) > slots {
				overLimit.Add(1)
			}
			time.Sleep(plan.service)
			running.Add(-1)
			release()
		})
	}
	time.Sleep(drainAfter)
	controller.Drain()
	err := controller.WaitDrained(context.Background())
	stillRunning := running.Load()
	calls.Wait()
	inFlight, _, queued := controller.Load()
	if err != nil || stillRunning != 0 || inFlight != 0 || queued != 0 || overLimit.Load() != 0 {
		return fmt.Sprintf("drained with %d calls running (%v); %d slots leaked, %d calls still queued, %d calls over the limit",
			stillRunning, err, inFlight, queued, overLimit.Load())
	}
	return ""
}

// TestOrdersAndDownloadsShareTheServer guards against downloads that delay
// lookups, and against downloads that starve under continuous lookups.
func TestOrdersAndDownloadsShareTheServer(t *testing.T) {
	for name, lookupClients := range map[string]int{"some lookups": 2, "continuous lookups": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lookups, downloads := runMixed(lookupClients)
				if lookups.maxWait > 50*time.Millisecond {
					t.Errorf("a lookup waited %s behind downloads, want at most 50ms", lookups.maxWait)
				}
				if downloads.done < 20 || lookups.done < 5000 {
					t.Errorf("%d downloads and %d lookups ran in a minute, want at least 20 and 5000", downloads.done, lookups.done)
				}
			})
		})
	}
}

// clientGroup runs the calls of a group of clients and records their results.
type clientGroup struct {
	mu      sync.Mutex
	done    int
	maxWait time.Duration
}

func runMixed(lookupClients int) (lookups, downloads *clientGroup) {
	lookups, downloads = &clientGroup{}, &clientGroup{}
	controller := NewController(time.Now)
	controller.Open(Capacity{Slots: 4, Connections: 4, ReadySince: time.Now().Add(-time.Minute)})
	var group sync.WaitGroup
	for range lookupClients {
		group.Go(func() { lookups.run(controller, config.PriorityLookup, 10*time.Millisecond) })
	}
	for range 8 {
		group.Go(func() { downloads.run(controller, config.PriorityDownload, 2*time.Second) })
	}
	group.Wait()
	return lookups, downloads
}

func (c *clientGroup) run(controller *Controller, priority config.Priority, service time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		start := time.Now()
		release, err := controller.Acquire(ctx, priority)
		if err == nil {
			c.mu.Lock()
			c.maxWait = max(c.maxWait, time.Since(start))
			c.done++
			c.mu.Unlock()
			time.Sleep(service)
			release()
		}
		time.Sleep(time.Millisecond)
	}
}

// TestColdAndRefusingServer guards against full load on a server that has just
// started, an unchanged rate of calls to a server that refuses them, a ramp
// that advances only when a call finishes, a concurrency limit that does not
// recover, and calls that stay queued after the server became absent.
func TestColdAndRefusingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := NewController(time.Now)
		controller.Open(Capacity{Slots: 6, Connections: 130, ReadySince: time.Now()})
		acquire := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := controller.Acquire(ctx, config.PriorityLookup)
			return err
		}
		var calls sync.WaitGroup
		for range 7 {
			calls.Go(func() { _ = acquire() })
		}
		expect := func(after time.Duration, running, slots int) {
			t.Helper()
			time.Sleep(after)
			synctest.Wait()
			if inFlight, limit, _ := controller.Load(); inFlight != running || limit != slots {
				t.Errorf("%d calls running with a limit of %d, want %d with a limit of %d", inFlight, limit, running, slots)
			}
		}
		expect(0, 1, 1)
		expect(5100*time.Millisecond, 3, 3)
		expect(5*time.Second, 6, 6)
		controller.ServerRefused()
		expect(0, 6, 5)
		expect(time.Second, 6, 6)
		controller.Resize(3, 130)
		expect(0, 6, 3)
		controller.Resize(0, 0)
		if _, _, queued := controller.Load(); queued != 0 {
			t.Errorf("%d calls are queued although there is no server", queued)
		}
		controller.Drain()
		calls.Wait()
		if err := acquire(); result.CodeOf(err) != result.Draining {
			t.Errorf("Acquire on a draining controller returned %v, want code Draining", err)
		}
	})
}
