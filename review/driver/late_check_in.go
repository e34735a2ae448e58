//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-check-in"] = lateCheckIn }

// lateCheckIn: while a node is stopped as planned, its instance leaves by DELETE and goes
// on serving for a while. The node is started again, and a check-in that the instance had
// sent before its DELETE arrives late. No request may reach the instance any more.
func lateCheckIn(w *world, trouble bool) (bool, error) {
	w.configure(7, []string{"katalog", "bokning"}, route("look", "/look/", "safe", "bokning", 4*time.Second, time.Second))
	for i, service := range []string{"katalog", "bokning", "bokning", "katalog"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if err := w.startInstance(h, fmt.Sprintf("i-%d", i+1), 4, func(string) time.Duration { return 20 * time.Millisecond }); err != nil {
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
	const (
		drain     = 2 * time.Second
		pause     = 3 * time.Second
		stability = 3 * time.Second
	)
	h := w.hosts[2]
	i := h.instance
	if trouble {
		w.note("sidecar-3 gets SIGTERM")
		if err := h.process.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
	}
	late := i.body("ready")
	w.note("instance i-3 sends a check-in (ready) that is late, and 50 ms later its DELETE")
	time.Sleep(50 * time.Millisecond)
	i.silent.Store(true)
	i.draining.Store(true)
	status, err := post(http.MethodDelete, "http://"+h.announce+"/api/instances/"+i.id, map[string]any{"born": i.born}, time.Second)
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the DELETE got status %d, %v", status, err)
	}
	acked := time.Now()
	w.note("instance i-3: the DELETE is acknowledged; it serves on")
	if trouble {
		<-h.exited
		w.note("sidecar-3 has ended")
		time.Sleep(pause)
		if err := w.startNode(h); err != nil {
			return false, err
		}
		time.Sleep(500 * time.Millisecond)
	} else {
		time.Sleep(4400 * time.Millisecond)
	}
	status, err = post(http.MethodPut, "http://"+h.announce+"/api/instances/"+i.id, late, time.Second)
	w.note("the late check-in of i-3 arrives and gets %d (%v), %.1f s after the DELETE", status, err, time.Since(acked).Seconds())
	time.Sleep(stability)
	from := time.Now()
	var all sync.WaitGroup
	for time.Since(from) < 3*time.Second {
		time.Sleep(30 * time.Millisecond)
		all.Go(func() {
			r := request{id: newID(), method: http.MethodGet, path: "/look/x", deadline: 2 * time.Second}
			a := w.send(w.hosts[0], r)
			w.note("sidecar-1: requester of %s gets %d, signature %q (%v)", r.id, a.status, a.signature, a.err)
		})
	}
	all.Wait()
	n := 0
	for _, r := range i.list() {
		if r.at.After(from) && r.at.After(acked.Add(drain)) {
			n++
		}
	}
	w.note("%d requests reached i-3 later than %s after the ack, from machines that had been calm for %s", n, drain, stability)
	return n > 0, nil
}
