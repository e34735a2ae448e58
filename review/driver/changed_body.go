//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["changed-body"] = changedBody }

// changedBody: orders with a long body, sent in chunks, wait at an instance's node for a
// slot while the instance is replaced: the new one starts first, then the old one reports
// draining. Every run must have the body that was sent.
func changedBody(w *world, trouble bool) (bool, error) {
	const (
		slots   = 2
		lookups = 4
		orders  = 4
		bodyLen = 3 << 20
	)
	w.configure(7, []string{"katalog", "bokning"}, route("look", "/look/", "safe", "bokning", 4*time.Second, time.Second)+","+
		route("order", "/order/", "unsafe", "bokning", 4*time.Second, time.Second))
	work := func(path string) time.Duration {
		if path == "/look/slow" {
			return 600 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	for i, service := range []string{"katalog", "bokning", "bokning"} {
		h, err := w.addHost(service, []string{"svealand-a", "svealand-b"}[i%2])
		if err != nil {
			return false, err
		}
		if i < 2 {
			if err := w.startInstance(h, fmt.Sprintf("i-%d", i+1), slots, work); err != nil {
				return false, err
			}
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

	// Ordinary work fills the slots of the instance.
	var all sync.WaitGroup
	for range lookups {
		all.Go(func() {
			id := newID()
			w.note("sidecar-1: requester sends %s (GET /look/slow)", id)
			a := w.send(w.hosts[0], request{id: id, method: http.MethodGet, path: "/look/slow", deadline: 4 * time.Second})
			w.note("sidecar-1: requester gets %d for %s (%v)", a.status, id, a.err)
		})
	}
	time.Sleep(100 * time.Millisecond)
	busySince := time.Now()
	sent := make(map[string]string)
	for n := range orders {
		body := make([]byte, bodyLen)
		source := rand.NewChaCha8([32]byte{byte(n + 1)})
		_, _ = source.Read(body)
		sum := sha256.Sum256(body)
		id := newID()
		sent[id] = hex.EncodeToString(sum[:8])
		w.note("sidecar-1: requester sends %s (POST /order/%d, %d bytes in chunks, sha256 %s)", id, n, bodyLen, sent[id])
		all.Go(func() {
			a := w.send(w.hosts[0], request{id: id, method: http.MethodPost, path: fmt.Sprintf("/order/%d", n), body: body, chunked: true, deadline: 4 * time.Second})
			w.note("sidecar-1: requester gets %d for %s, signature %q: %.80s (%v)", a.status, id, a.signature, a.body, a.err)
		})
	}
	if err := w.startInstance(w.hosts[2], "i-3", slots, work); err != nil {
		return false, err
	}
	time.Sleep(time.Until(busySince.Add(400 * time.Millisecond)))
	if trouble {
		w.note("instance i-2 is replaced by i-3: it reports draining")
		w.hosts[1].instance.drain()
	}
	all.Wait()
	broken := false
	for _, h := range w.hosts {
		for _, r := range h.instance.list() {
			if want, ours := sent[r.id]; ours && r.sum != want {
				w.note("BROKEN: %s ran %s with a body of %d bytes (%s), sent were %d bytes (%s)", r.instance, r.id, r.length, r.sum, bodyLen, want)
				broken = true
			}
		}
	}
	return broken, nil
}
