//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["forged"] = forged }

// forged: a check-in of another writer, with fields missing, names an instance. Later the
// instance reports draining and is acknowledged; no request may reach it later than drain
// after that.
func forged(w *world, trouble bool) (bool, error) {
	const drain = 2 * time.Second
	w.configure(7, []string{"katalog", "bokning"}, route("look", "/look/", "safe", "bokning", 2*time.Second, time.Second))
	for i, service := range []string{"katalog", "bokning", "bokning"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if err := w.startInstance(h, fmt.Sprintf("i-%d", i+1), 9, func(string) time.Duration { return 20 * time.Millisecond }); err != nil {
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
	h := w.hosts[1]
	i := h.instance
	if trouble {
		// Without address, born, version, zone and coldLeft.
		body := map[string]any{
			"info":   map[string]any{"service": h.service, "slots": 9},
			"status": map[string]any{"state": "ready", "seq": 100000},
		}
		status, err := post(http.MethodPut, "http://"+h.announce+"/api/instances/"+i.id, body, time.Second)
		w.note("a check-in of another writer for %s, without address, born, version, zone and coldLeft, gets %d (%v)", i.id, status, err)
		time.Sleep(4 * time.Second)
	}
	w.note("instance %s reports draining", i.id)
	i.drain()
	acked := i.ackedAt.Load()
	if acked == nil {
		return false, fmt.Errorf("draining was not acknowledged")
	}
	var all sync.WaitGroup
	for until := acked.Add(drain + 2*time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		all.Go(func() {
			a := w.send(w.hosts[0], request{method: http.MethodGet, path: "/look/x", deadline: 2 * time.Second})
			if a.status != http.StatusOK {
				w.note("sidecar-1: requester gets %d (%v)", a.status, a.err)
			}
		})
	}
	all.Wait()
	status, err := post(http.MethodDelete, "http://"+h.announce+"/api/instances/"+i.id, map[string]any{"born": i.born}, time.Second)
	w.note("instance %s sends DELETE, gets %d (%v)", i.id, status, err)
	late := 0
	for _, r := range i.list() {
		if r.at.After(acked.Add(drain)) {
			late++
		}
	}
	w.note("%d requests reached %s later than %s after the ack", late, i.id, drain)
	return late > 0, nil
}
