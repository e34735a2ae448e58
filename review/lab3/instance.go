//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two check-ins.
const heartbeat = 1500 * time.Millisecond

// slots is the number of requests that an instance runs at once.
const slots = 9

// arrivalOf is a request that reached an instance.
type arrivalOf struct {
	id string
	at time.Time
}

// instance is a stand-in for an application instance. It keeps what reaches it.
type instance struct {
	lab  *lab
	node *node
	id   string
	born int64
	work func(r *http.Request) time.Duration
	body func(r *http.Request) []byte
	// breaksOff reports whether the next answer ends in its middle; nil for never.
	breaksOff func() bool
	server    *http.Server
	sequence  atomic.Int64
	// draining is set once its check-ins say that it drains, and leaving once it says that it
	// leaves in any way; its health check fails then.
	draining atomic.Bool
	leaving  atomic.Bool
	// silent is set once it sends no further check-ins.
	silent  atomic.Bool
	stop    context.CancelFunc
	running atomic.Int64
	// crashes is told of requests of crashingPath; nil in cases without them.
	crashes *crashes

	mu       sync.Mutex
	arrivals []arrivalOf
}

// startInstance starts an instance beside a node, with 20 ms of work for a request.
func (l *lab) startInstance(n *node, id string) error {
	listener, err := net.Listen("tcp", n.app)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{
		lab: l, node: n, id: id, born: time.Now().UnixMilli(), stop: stop,
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		body: func(r *http.Request) []byte {
			return []byte("answer to " + r.Header.Get("X-Rosemaryladder-Request-Id"))
		},
	}
	i.server = &http.Server{Handler: i, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = i.server.Serve(listener) }()
	go i.checkInLoop(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instance = i
	return nil
}

// exit ends the instance.
func (i *instance) exit() {
	i.stop()
	_ = i.server.Close()
}

func (i *instance) checkInLoop(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if !i.silent.Load() {
			state := "ready"
			if i.draining.Load() {
				state = "draining"
			}
			// A check-in without an ack is followed by the next one.
			_ = i.checkIn(state, i.sequence.Add(1))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkIn sends a check-in and waits a second for its ack.
func (i *instance) checkIn(state string, sequence int64) error {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeft":"0ms"}}`,
		i.node.app, i.born, i.node.service, i.node.zone, slots, state, sequence)
	return i.call(http.MethodPut, body)
}

// leave says that the instance leaves, without a check-in before.
func (i *instance) leave() error {
	return i.call(http.MethodDelete, fmt.Sprintf(`{"born":%d}`, i.born))
}

func (i *instance) call(method, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.node.control+"/api/instances/"+i.id, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := i.lab.transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s got %d %s", method, response.StatusCode, answer)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Rosemaryladder-Instance-Id", i.id)
	header.Set("X-Rosemaryladder-Instance-Load", fmt.Sprintf("%d,0,%d", i.running.Load(), slots))
	if r.URL.Path == "/healthz" {
		if i.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if i.leaving.Load() {
		header.Set("Connection", "close")
	}
	id := r.Header.Get("X-Rosemaryladder-Request-Id")
	header.Set("X-Rosemaryladder-Request-Id", id)
	if expected := r.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	i.arrivals = append(i.arrivals, arrivalOf{id, time.Now()})
	i.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if i.crashes != nil && r.URL.Path == crashingPath {
		i.crashes.crash(i, id)
		panic(http.ErrAbortHandler)
	}
	i.running.Add(1)
	defer i.running.Add(-1)
	limit := time.Hour
	if left, err := strconv.Atoi(r.Header.Get("X-Rosemaryladder-Deadline-Ms")); err == nil {
		limit = time.Duration(left) * time.Millisecond
	}
	work := i.work(r)
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		return
	}
	header.Set("X-Rosemaryladder-Response-Signature", i.id+"."+id)
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	body := i.body(r)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if i.breaksOff != nil && i.breaksOff() {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// reached returns what reached the instance.
func (i *instance) reached() []arrivalOf {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]arrivalOf(nil), i.arrivals...)
}
