// Package backend is a stand-in for a backend server. It announces itself to the
// local node, runs calls and logs each run.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announceInterval is the time between two announcements.
const announceInterval = 2 * time.Second

// HeaderID is a header that is copied from a request to its response, so that a
// caller can check that the response belongs to its request.
const HeaderID = "X-Standin-Id"

// Response is the body of a response other than a download.
type Response struct {
	Key    string `json:"key"`
	CallID string `json:"call_id"`
	// Digest is the xxhash64 of the request body.
	Digest string `json:"digest"`
	Length int    `json:"length"`
}

// Backend is one server.
type Backend struct {
	options Options
	// Crash exits the process; tests replace it.
	Crash func()

	behaviour atomic.Pointer[Behaviour]
	inFlight  atomic.Int64
	cancelled atomic.Int64
	leaving   atomic.Bool
	startedAt time.Time
	address   string
	client    http.Client

	mu   sync.Mutex
	runs bytes.Buffer
}

// New returns a server in state starting.
func New(options Options) *Backend {
	b := &Backend{options: options, Crash: func() { os.Exit(3) }, startedAt: time.Now(), client: http.Client{Timeout: time.Second}}
	b.behaviour.Store(&b.options.Behaviour)
	return b
}

// Run serves until the context ends, then shuts down gracefully. It returns an error
// if the server cannot listen or fails.
func (b *Backend) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", b.options.Address)
	if err != nil {
		return err
	}
	b.address = listener.Addr().String()
	fmt.Println("address", b.address)
	server := &http.Server{Handler: b}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- server.Serve(listener) }()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	coldStartEnd := time.After(b.options.ColdStart)
	for {
		b.announce()
		select {
		case <-ticker.C:
		case <-coldStartEnd:
		case err := <-serveErrors:
			return err
		case <-ctx.Done():
			return b.shutDown(server)
		}
	}
}

// shutDown announces the state leaving for at least LeaveTime and until no call is in
// flight, then stops the server.
func (b *Backend) shutDown(server *http.Server) error {
	b.leaving.Store(true)
	leaveEnd := time.Now().Add(b.options.LeaveTime)
	for time.Now().Before(leaveEnd) || b.inFlight.Load() > 0 {
		b.announce()
		time.Sleep(100 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return server.Shutdown(ctx)
}

func (b *Backend) announce() {
	if b.options.Announce == "" {
		return
	}
	body, _ := json.Marshal(map[string]any{
		"service": b.options.Service, "address": b.address, "state": b.state(),
		"slots": b.options.Slots, "connections": b.options.Connections,
	})
	request, err := http.NewRequest(http.MethodPut, "http://"+b.options.Announce+"/v1/server", bytes.NewReader(body))
	if err != nil {
		return
	}
	// An announcement to a node that is down is retried at the next interval.
	if response, err := b.client.Do(request); err == nil {
		response.Body.Close()
	}
}

func (b *Backend) state() string {
	switch {
	case b.leaving.Load():
		return "leaving"
	case time.Since(b.startedAt) < b.options.ColdStart:
		return "starting"
	default:
		return "ready"
	}
}

// ServeHTTP runs a call or serves the admin paths /runs, /behaviour and /cancelled.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/runs":
		b.mu.Lock()
		defer b.mu.Unlock()
		_, _ = w.Write(b.runs.Bytes())
	case "/behaviour":
		next := Behaviour{}
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.behaviour.Store(&next)
	case "/cancelled":
		fmt.Fprintln(w, b.cancelled.Load())
	default:
		b.call(w, r)
	}
}

func (b *Backend) call(w http.ResponseWriter, r *http.Request) {
	behaviour := b.behaviour.Load()
	defer b.inFlight.Add(-1)
	if b.inFlight.Add(1) > int64(b.options.Slots) || rand.IntN(100) < behaviour.ShedPercent {
		w.Header().Set("Rosemaryladder-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behaviour.FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	response := Response{
		Key: r.Header.Get("Idempotency-Key"), CallID: r.Header.Get("Rosemaryladder-Call-Id"),
		Digest: Digest(body), Length: len(body),
	}
	b.logRun(response)
	if behaviour.CrashBody != "" && bytes.Contains(body, []byte(behaviour.CrashBody)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(r, body, behaviour) {
		return
	}
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	if size := r.URL.Query().Get("size"); size != "" {
		b.download(w, r, size, behaviour)
		return
	}
	encoded, _ := json.Marshal(response)
	b.write(w, bytes.NewReader(encoded), int64(len(encoded)), behaviour)
}

// simulateWork blocks for the service time; false if the call was cancelled.
func (b *Backend) simulateWork(r *http.Request, body []byte, behaviour *Behaviour) bool {
	duration := b.options.ServiceTime
	if behaviour.SlowBody != "" && (bytes.Contains(body, []byte(behaviour.SlowBody)) || strings.Contains(r.URL.RawQuery, behaviour.SlowBody)) {
		duration = behaviour.SlowTime
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		b.cancelled.Add(1)
		return false
	}
}

func (b *Backend) download(w http.ResponseWriter, r *http.Request, size string, behaviour *Behaviour) {
	length, err := strconv.ParseInt(size, 10, 64)
	if err != nil || length < 0 {
		http.Error(w, "size must be a number", http.StatusBadRequest)
		return
	}
	b.write(w, Content(r.Header.Get(HeaderID), length), length, behaviour)
}

// write sends a response body, truncated after StopAfter bytes if that is set.
func (b *Backend) write(w http.ResponseWriter, content io.Reader, length int64, behaviour *Behaviour) {
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	if behaviour.StopAfter == 0 || behaviour.StopAfter >= length {
		_, _ = io.Copy(w, content)
		return
	}
	_, _ = io.CopyN(w, content, behaviour.StopAfter)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (b *Backend) logRun(response Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%s %s %s\n", response.Key, response.CallID, response.Digest)
	b.runs.WriteString(line)
	if b.options.RunLog == "" {
		return
	}
	file, err := os.OpenFile(b.options.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer file.Close()
	_, _ = file.WriteString(line)
}

// Digest returns the xxhash64 of a body in hexadecimal.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Content returns the content of a download, which is determined by the id.
func Content(id string, length int64) io.Reader {
	var seed [32]byte
	copy(seed[:], id)
	return io.LimitReader(rand.NewChaCha8(seed), length)
}
