//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// gone: 8 of 36 requesters leave while their long requests wait at an instance's node for
// a slot. No more than a few of them may reach the instance over half a second later.
func gone(w *world, trouble bool) (bool, error) {
	const (
		slots   = 2
		lookups = 4
		quick   = 24
		orders  = 8
		bodyLen = 1<<20 + 100<<10
		few     = 3
	)
	w.configure(7, []string{"katalog", "bokning"}, route("look", "/look/", "safe", "bokning", 4*time.Second, time.Second)+","+
		route("order", "/order/", "unsafe", "bokning", 4*time.Second, time.Second))
	work := func(path string) time.Duration {
		if path == "/look/slow" {
			return 700 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	for i, service := range []string{"katalog", "bokning"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if err := w.startInstance(h, fmt.Sprintf("i-%d", i+1), slots, work); err != nil {
			return false, err
		}
		if err := w.startNode(h); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	if err := w.awaitServed("/look/x", 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	for range lookups {
		all.Go(func() {
			a := w.send(w.hosts[0], request{method: http.MethodGet, path: "/look/slow", deadline: 4 * time.Second})
			w.note("sidecar-1: requester of a lookup gets %d (%v)", a.status, a.err)
		})
	}
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	left := make(map[string]time.Time)
	for range orders {
		id := newID()
		all.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.hosts[0].front+"/order/"+id, strings.NewReader(strings.Repeat("x", bodyLen)))
			if err != nil {
				panic(err)
			}
			out.Host = "shop.example"
			out.Header.Set("X-Rosemaryladder-Request-Id", id)
			out.Header.Set("X-Rosemaryladder-Deadline-Ms", "4000")
			w.note("sidecar-1: requester sends %s (POST, %d bytes)", id, bodyLen)
			if trouble {
				time.AfterFunc(150*time.Millisecond, func() {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					cancel()
					w.note("sidecar-1: requester of %s leaves", id)
				})
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			response, err := client.Do(out)
			if err != nil {
				w.note("sidecar-1: requester of %s gets no answer: %v", id, err)
				return
			}
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			w.note("sidecar-1: requester of %s gets %d: %.60s", id, response.StatusCode, answer)
		})
	}
	// Requesters that stay.
	for range quick {
		time.Sleep(40 * time.Millisecond)
		all.Go(func() {
			a := w.send(w.hosts[0], request{method: http.MethodGet, path: "/look/x", deadline: 4 * time.Second})
			w.note("sidecar-1: requester of a lookup gets %d (%v)", a.status, a.err)
		})
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	i := w.hosts[1].instance
	i.mu.Lock()
	defer i.mu.Unlock()
	for id, at := range left {
		if reached, ok := i.reached[id]; ok && reached.Sub(at) > 500*time.Millisecond {
			late++
			w.note("%s reaches %s %.2f s after its requester left", id, i.id, reached.Sub(at).Seconds())
		}
	}
	w.note("%d requests reach the instance over half a second after their requesters left", late)
	return late > few, nil
}
