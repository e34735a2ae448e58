//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sentRequest is a request of a caller.
type sentRequest struct {
	id     string
	node   *node
	at     time.Time
	status int
	err    string
}

// answer returns the status that the caller got, or why it got none.
func (s sentRequest) answer() string {
	if s.err != "" {
		return "not: " + s.err
	}
	return fmt.Sprint(s.status)
}

// callers send requests to the nodes' outbound addresses at a fixed rate.
type callers struct {
	lab  *lab
	stop context.CancelFunc
	done sync.WaitGroup
	next atomic.Int64

	mu   sync.Mutex
	sent map[string]sentRequest
}

// startCallers has each node get a request on a path in each interval.
func (l *lab) startCallers(path string, interval, deadline time.Duration, nodes []*node) *callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{lab: l, stop: stop, sent: make(map[string]sentRequest)}
	for _, n := range nodes {
		c.done.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					c.done.Go(func() { c.send(n, path, deadline) })
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return c
}

func (c *callers) send(n *node, path string, deadline time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	s := sentRequest{id: fmt.Sprintf("%016x", c.next.Add(1)), node: n}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.outbound+path+s.id, nil)
	if err != nil {
		return
	}
	request.Host = "cubo38.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", s.id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.at = time.Now()
	response, err := c.lab.transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		s.status = response.StatusCode
	}
	if err != nil {
		s.err = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[s.id] = s
}

// end waits for the last answers and returns what was sent.
func (c *callers) end() map[string]sentRequest {
	c.stop()
	c.done.Wait()
	return c.sent
}

// statuses counts the answers of the requests that were sent in a time.
func statuses(sent map[string]sentRequest, from, to time.Time) map[string]int {
	counts := make(map[string]int)
	for _, s := range sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		if s.err != "" {
			counts["no answer"]++
			continue
		}
		counts[fmt.Sprint(s.status)]++
	}
	return counts
}
