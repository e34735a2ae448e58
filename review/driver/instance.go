//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 870 * time.Millisecond

// run is one request that an instance began to work on.
type run struct {
	id, instance, method, path, sum string
	length                          int
	at                              time.Time
}

// instance is a sound instance of PROTOCOL.md: it runs slots requests at once, queues a
// few more and checks in at its node.
type instance struct {
	world    *world
	host     *host
	id       string
	slots    chan struct{}
	slotsN   int
	work     func(path string) time.Duration
	born     int64
	seq      atomic.Int64
	draining atomic.Bool
	silent   atomic.Bool
	ackedAt  atomic.Pointer[time.Time]
	running  atomic.Int64
	waiting  atomic.Int64
	server   *http.Server
	cancel   context.CancelFunc

	mu   sync.Mutex
	runs []run
	// reached holds when the head of a request arrived.
	reached map[string]time.Time
}

func (w *world) startInstance(h *host, id string, slots int, work func(path string) time.Duration) error {
	listener, err := net.Listen("tcp", h.server)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{world: w, host: h, id: id, slots: make(chan struct{}, slots), slotsN: slots, work: work, born: time.Now().UnixMilli(), cancel: cancel}
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(listener) }()
	go i.beat(ctx)
	h.instance = i
	w.note("instance %s of %s starts beside %s", id, h.service, h.name)
	return nil
}

func (i *instance) stop() {
	i.cancel()
	_ = i.server.Close()
}

// beat sends check-ins.
func (i *instance) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if !i.silent.Load() {
			i.checkIn()
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// body returns a check-in.
func (i *instance) body(state string) map[string]any {
	return map[string]any{
		"address": i.host.server, "born": i.born,
		"info":   map[string]any{"service": i.host.service, "version": "v1", "zone": "svealand-a", "slots": i.slotsN},
		"status": map[string]any{"state": state, "seq": i.seq.Add(1), "coldLeft": "0ms"},
	}
}

func (i *instance) checkIn() {
	state := "ready"
	draining := i.draining.Load()
	if draining {
		state = "draining"
	}
	body := i.body(state)
	status, err := post(http.MethodPut, "http://"+i.host.announce+"/api/instances/"+i.id, body, time.Second)
	if err == nil && status == http.StatusOK && draining && i.ackedAt.Load() == nil {
		now := time.Now()
		i.ackedAt.Store(&now)
		i.world.note("instance %s: draining is acknowledged", i.id)
	}
}

// drain reports the instance as draining.
func (i *instance) drain() {
	i.draining.Store(true)
	i.checkIn()
}

func (i *instance) list() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Rosemaryladder-Instance-Id", i.id)
	header.Set("X-Rosemaryladder-Instance-Load", fmt.Sprintf("%d,%d,%d", i.running.Load(), i.waiting.Load(), i.slotsN))
	if r.URL.Path == "/healthz" {
		if i.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Rosemaryladder-Request-Id")
	header.Set("X-Rosemaryladder-Request-Id", id)
	if id == "" {
		header.Set("X-Rosemaryladder-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	if i.reached == nil {
		i.reached = make(map[string]time.Time)
	}
	if _, known := i.reached[id]; !known {
		i.reached[id] = time.Now()
	}
	i.mu.Unlock()
	if expected := r.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != i.id {
		header.Set("X-Rosemaryladder-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		i.world.note("instance %s: the body of %s breaks off after %d bytes; not run", i.id, id, len(body))
		panic(http.ErrAbortHandler)
	}
	deadline := 10 * time.Second
	if millis, err := strconv.Atoi(r.Header.Get("X-Rosemaryladder-Deadline-Ms")); err == nil {
		deadline = time.Duration(millis) * time.Millisecond
	}
	timer := time.NewTimer(deadline)
	defer timer.Stop()
	i.waiting.Add(1)
	select {
	case i.slots <- struct{}{}:
		i.waiting.Add(-1)
	case <-timer.C:
		i.waiting.Add(-1)
		header.Set("X-Rosemaryladder-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		i.waiting.Add(-1)
		panic(http.ErrAbortHandler)
	}
	i.running.Add(1)
	defer func() {
		i.running.Add(-1)
		<-i.slots
	}()
	sum := sha256.Sum256(body)
	one := run{id: id, instance: i.id, method: r.Method, path: r.URL.RequestURI(), sum: hex.EncodeToString(sum[:8]), length: len(body), at: time.Now()}
	i.mu.Lock()
	i.runs = append(i.runs, one)
	i.mu.Unlock()
	i.world.note("instance %s runs %s: %s %s, body of %d bytes, sha256 %s", i.id, id, one.method, one.path, one.length, one.sum)
	header.Set("X-Rosemaryladder-Response-Signature", i.id+"."+id)
	select {
	case <-time.After(i.work(r.URL.Path)):
	case <-timer.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("%s got %d bytes %s", id, one.length, one.sum)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
