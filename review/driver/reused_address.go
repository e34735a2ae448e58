//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reused-address"] = reusedAddress }

// reusedAddress: an instance crashes for good, and after reuseAfter its address goes to an
// instance of another service. No request of a route to the first service may run there.
func reusedAddress(w *world, trouble bool) (bool, error) {
	const reuseAfter = 2 * time.Second
	w.configure(7, []string{"katalog", "bokning"}, route("list", "/list/", "safe", "katalog", 2*time.Second, time.Second)+","+
		route("order", "/order/", "unsafe", "bokning", 2*time.Second, time.Second)+","+
		route("look", "/look/", "safe", "bokning", 2*time.Second, time.Second))
	work := func(string) time.Duration { return 20 * time.Millisecond }
	for i, service := range []string{"katalog", "bokning", "bokning"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if err := w.startInstance(h, fmt.Sprintf("i-%d", i+1), 9, work); err != nil {
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
	var all sync.WaitGroup
	ended := make(chan struct{})
	all.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(30 * time.Millisecond):
			}
			all.Go(func() {
				r := request{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/order/%d", n), body: []byte("an order"), deadline: 2 * time.Second}
				a := w.send(w.hosts[0], r)
				w.note("sidecar-1: requester of %s (POST %s) gets %d, signature %q (%v)", r.id, r.path, a.status, a.signature, a.err)
			})
		}
	})
	time.Sleep(time.Second)
	if trouble {
		h.instance.stop()
		w.note("instance i-2 of bokning crashes for good")
		time.Sleep(reuseAfter + 500*time.Millisecond)
		h.service = "katalog"
		settings, err := os.ReadFile(h.settings)
		if err != nil {
			return false, err
		}
		if err := os.WriteFile(h.settings, []byte(strings.Replace(string(settings), "service = bokning", "service = katalog", 1)), 0o600); err != nil {
			return false, err
		}
		if err := w.startInstance(h, "i-9", 9, work); err != nil {
			return false, err
		}
		w.note("the address of i-2 is now that of i-9 of katalog; the settings of sidecar-2 name katalog, it gets SIGHUP")
		if err := h.process.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	close(ended)
	all.Wait()
	wrong := 0
	for _, r := range h.instance.list() {
		if h.service == "katalog" && !strings.HasPrefix(r.path, "/list/") {
			wrong++
		}
	}
	w.note("%d requests of routes to bokning were run by the instance of katalog", wrong)
	return wrong > 0, nil
}
