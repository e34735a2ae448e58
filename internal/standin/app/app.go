// Package app is a stand-in for a backend server on the users' platform: it checks
// in at the node beside it, answers requests and counts what it ran.
package app

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

// checkInInterval is the time between two check-ins.
const checkInInterval = 200 * time.Millisecond

// Options describe one server.
type Options struct {
	ID      string
	Service string
	Address string
	// CheckInAddress is the address that takes check-ins.
	CheckInAddress string
	Slots          int
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// SentAt returns when the latest bytes of the connection from an address were sent,
	// for a server behind a proxy that holds them back. Nil: as they arrive.
	SentAt func(remote string) time.Time
	// PoisonPath is the path of requests that end the server; empty for none.
	PoisonPath string
	// OnRun is called with the id of each request that begins to run.
	OnRun func(id string)
}

// App is one server.
type App struct {
	options  Options
	server   *http.Server
	born     int64
	sequence atomic.Int64
	draining atomic.Bool
	// acked is when the leaving was acknowledged; nil before.
	acked   atomic.Pointer[time.Time]
	crashed atomic.Bool
	// late counts the requests that were sent after the leaving was acknowledged.
	late   atomic.Int64
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts a server.
func Start(options Options) (*App, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &App{options: options, born: time.Now().UnixMilli(), cancel: cancel}
	a.server = &http.Server{Handler: a}
	a.done.Go(func() { _ = a.server.Serve(listener) })
	a.done.Go(func() { a.checkIns(ctx) })
	return a, nil
}

// Drain says that the server leaves.
func (a *App) Drain() { a.draining.Store(true) }

// LateRequests returns the requests that were sent after the leaving was acknowledged.
func (a *App) LateRequests() int64 { return a.late.Load() }

// Acknowledged reports whether the leaving was acknowledged.
func (a *App) Acknowledged() bool { return a.acked.Load() != nil }

// Crashed reports whether a request has ended the server.
func (a *App) Crashed() bool { return a.crashed.Load() }

// Stop ends the server at once.
func (a *App) Stop() {
	a.cancel()
	_ = a.server.Close()
	a.done.Wait()
}

// ServeHTTP runs a request, or answers the health question.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rosemaryladder-Instance-Id", a.options.ID)
	w.Header().Set("X-Rosemaryladder-Instance-Load", fmt.Sprintf("0,0,%d", a.options.Slots))
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Rosemaryladder-Request-Id")
	w.Header().Set("X-Rosemaryladder-Request-Id", id)
	if expected := r.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != a.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if acked := a.acked.Load(); acked != nil && a.sent(r).After(*acked) {
		a.late.Add(1)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.options.OnRun(id)
	if a.options.PoisonPath != "" && r.URL.Path == a.options.PoisonPath {
		a.crashed.Store(true)
		go a.Stop()
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(a.options.ServiceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Rosemaryladder-Response-Signature", a.options.ID+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.Header.Get("X-Rosemaryladder-Caller-Service"), body)
}

// sent returns when a request left the node beside the server.
func (a *App) sent(r *http.Request) time.Time {
	if a.options.SentAt == nil {
		return time.Now()
	}
	return a.options.SentAt(r.RemoteAddr)
}

func (a *App) checkIns(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		leaving := a.draining.Load()
		if a.checkIn(ctx, client, leaving) && leaving && a.acked.Load() == nil {
			now := time.Now()
			a.acked.Store(&now)
		}
		select {
		case <-time.After(checkInInterval):
		case <-ctx.Done():
		}
	}
}

func (a *App) checkIn(ctx context.Context, client *http.Client, leaving bool) bool {
	state := "ready"
	if leaving {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": a.options.Address, "born": a.born,
		"info":   map[string]any{"service": a.options.Service, "slots": a.options.Slots, "version": "v1", "zone": "z"},
		"status": map[string]any{"state": state, "seq": a.sequence.Add(1), "coldLeft": "0ms"},
	})
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a.options.CheckInAddress+"/api/instances/"+a.options.ID, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		// The node is down; the next check-in comes soon.
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
