//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["late-check-in"] = lateCheckIn }

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
	time.Sleep(3 * time.Second)
	h := w.hosts[2]
	i := h.instance
	late := i.body("ready")
	time.Sleep(100 * time.Millisecond)
	i.silent.Store(true)
	i.draining.Store(true)
	status, err := post(http.MethodDelete, "http://"+h.announce+"/api/instances/"+i.id, map[string]any{"born": i.born}, time.Second)
	acked := time.Now()
	w.note("instance %s: DELETE is answered with %d (%v)", i.id, status, err)
	pause := 300 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("PAUSE")); err == nil {
		pause = time.Duration(ms) * time.Millisecond
	}
	signal := syscall.SIGTERM
	if os.Getenv("KILL") != "" {
		signal = syscall.SIGKILL
	}
	time.Sleep(200 * time.Millisecond)
	_ = h.process.Process.Signal(signal)
	w.note("sidecar-3 gets %v", signal)
	<-h.exited
	w.note("sidecar-3 has ended")
	time.Sleep(pause)
	if err := w.startNode(h); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	status, err = post(http.MethodPut, "http://"+h.announce+"/api/instances/"+i.id, late, time.Second)
	w.note("the late check-in of %s arrives: %d %v", i.id, status, err)
	time.Sleep(3 * time.Second)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		go w.send(w.hosts[0], request{method: http.MethodGet, path: "/look/x", deadline: time.Second})
	}
	time.Sleep(500 * time.Millisecond)
	n := 0
	for _, r := range i.list() {
		if r.at.After(acked.Add(2 * time.Second)) {
			n++
		}
	}
	w.note("%d requests reached %s later than drain after its ack", n, i.id)
	return n > 0, nil
}
