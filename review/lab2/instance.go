//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that an instance got.
type arrival struct {
	at     time.Time
	id     string
	caller string
	ran    bool
}

// instance is a stand-in for an application instance: one lifetime.
type instance struct {
	lab     *lab
	machine *machine
	id      string
	service string
	born    int64
	work    time.Duration
	// leaving is set once the instance leaves; its health check fails from then on.
	leaving  atomic.Bool
	sequence atomic.Int64
	// garbles has some responses be followed by extra bytes, and answered counts them.
	garbles  atomic.Bool
	answered atomic.Int64
	// workOf replaces work; nil for none.
	workOf func(r *http.Request) time.Duration
	// answer replaces the usual response after the work; nil for none.
	answer func(w http.ResponseWriter, r *http.Request) bool

	server *http.Server
	stop   context.CancelFunc
	ctx    context.Context

	mu sync.Mutex
	// heads are the requests that have reached the instance, arrivals those that it ran.
	heads, arrivals []arrival
}

// startInstance starts an instance beside a sidecar. It sends no check-in by itself.
func (m *machine) startInstance(id, service string, born int64, work time.Duration) (*instance, error) {
	listener, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	a := &instance{lab: m.lab, machine: m, id: id, service: service, born: born, work: work}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(listener) }()
	m.lab.note("instance %s of %s: started on %s, born %d", id, service, m.name, born)
	return a, nil
}

// end ends the instance at once, as a crash or an exit does.
func (a *instance) end() {
	a.stop()
	_ = a.server.Close()
	a.lab.note("instance %s: ended", a.id)
}

// checkIns sends a check-in every heartbeat until the instance ends.
func (a *instance) checkIns() {
	go func() {
		for a.ctx.Err() == nil {
			state := "ready"
			if a.leaving.Load() {
				state = "draining"
			}
			a.checkIn(state, a.sequence.Add(1))
			select {
			case <-time.After(heartbeat):
			case <-a.ctx.Done():
			}
		}
	}()
}

// checkIn sends one check-in and reports whether it was acknowledged.
func (a *instance) checkIn(state string, sequence int64) bool {
	body, err := json.Marshal(map[string]any{
		"address": a.machine.app, "born": a.born,
		"info":   map[string]any{"service": a.service, "version": "v1", "zone": a.machine.zone, "slots": 9},
		"status": map[string]any{"state": state, "seq": sequence, "coldLeft": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	status := a.call(http.MethodPut, body)
	a.lab.note("instance %s: check-in %s seq %d -> %s", a.id, state, sequence, status)
	return status == "200"
}

// leave sends DELETE and returns when the response had come.
func (a *instance) leave() (acknowledged bool, at time.Time) {
	status := a.call(http.MethodDelete, nil)
	at = time.Now()
	a.lab.note("instance %s: DELETE -> %s", a.id, status)
	return status == "200", at
}

func (a *instance) call(method string, body []byte) (status string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+a.machine.control+"/api/instances/"+a.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return fmt.Sprint(response.StatusCode)
}

// ServeHTTP runs a request or responds to a health check.
func (a *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rosemaryladder-Instance-Id", a.id)
	w.Header().Set("X-Rosemaryladder-Instance-Load", "0,0,9")
	if r.URL.Path == "/healthz" {
		status := http.StatusOK
		if a.leaving.Load() {
			status = http.StatusServiceUnavailable
		}
		a.lab.note("instance %s: health check -> %d", a.id, status)
		w.WriteHeader(status)
		return
	}
	got := arrival{at: time.Now(), id: r.Header.Get("X-Rosemaryladder-Request-Id"), caller: r.Header.Get("X-Rosemaryladder-Caller-Service")}
	w.Header().Set("X-Rosemaryladder-Request-Id", got.id)
	if expected := r.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != a.id {
		a.lab.note("instance %s: request %s expects %s -> 421", a.id, got.id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	a.heads = append(a.heads, got)
	a.mu.Unlock()
	if r.ContentLength > 0 {
		a.lab.note("instance %s: request %s arrives", a.id, got.id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	got.ran = true
	a.mu.Lock()
	a.arrivals = append(a.arrivals, got)
	a.mu.Unlock()
	a.lab.note("instance %s: runs request %s, caller service %s", a.id, got.id, got.caller)
	duration := a.work
	if a.workOf != nil {
		duration = a.workOf(r)
	}
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Rosemaryladder-Response-Signature", a.id+"."+got.id)
	if a.answer != nil && a.answer(w, r) {
		return
	}
	fmt.Fprintf(w, "%s ran %s with %d bytes", a.id, got.id, len(body))
}

// runs returns the requests that the instance ran.
func (a *instance) runs() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.arrivals...)
}

// reached returns the requests whose heads have reached the instance.
func (a *instance) reached() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.heads...)
}
