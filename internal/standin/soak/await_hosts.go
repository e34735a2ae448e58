package soak

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// awaitHosts probes all hosts at the same time, each until a probe succeeds or the
// deadline has passed, and returns the last error of each host that had not succeeded by
// then. One after the other, the probes of the first hosts would use up the time of the
// last ones.
func awaitHosts(hosts int, deadline time.Time, probe func(host, attempt int) error) map[int]error {
	var mu sync.Mutex
	failures := make(map[int]error)
	var group sync.WaitGroup
	for host := range hosts {
		group.Go(func() {
			if err := awaitHost(deadline, func(attempt int) error { return probe(host, attempt) }); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures[host] = err
			}
		})
	}
	group.Wait()
	return failures
}

// awaitHost returns the error of the last attempt unless one succeeds by the deadline.
func awaitHost(deadline time.Time, probe func(attempt int) error) error {
	for attempt := 0; ; attempt++ {
		err := probe(attempt)
		late := time.Since(deadline)
		switch {
		case err == nil && late > 0:
			return errors.Errorf("attempt %d succeeded %s after the deadline", attempt, late)
		case err == nil:
			return nil
		case late > 0:
			return errors.WithMessagef(err, "attempt %d", attempt)
		}
		time.Sleep(pollInterval)
	}
}
