// Package app is a stand-in for a backend server on the users' platform. It checks in
// at the local node, serves requests and counts those sent after the node acknowledged
// its drain.
package app

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/arrival"
)

// Options configure one server.
type Options struct {
	ID      string
	Service string
	// Address is where the server listens; with port 0 the system chooses one.
	Address string
	// AnnouncedAddress is the address in check-ins, at which the node reaches the server;
	// empty for Address.
	AnnouncedAddress string
	// CheckInAddress is the address of the node that accepts check-ins.
	CheckInAddress string
	Slots          int
	// ServiceTime is the time that a request takes, unless its query parameter "work"
	// names another one.
	ServiceTime time.Duration
	// SentAt returns when the latest bytes of the connection from a remote address were
	// sent, for a server behind a proxy that delays them. If it is nil, a request counts
	// as sent when the kernel received its bytes.
	SentAt func(remote string) time.Time
	// PoisonPath is the path of requests that crash the server, after the duration in the
	// query parameter "after"; empty for none.
	PoisonPath string
	// Silent starts the server without check-ins.
	Silent bool
	// OnRun is called with the id of each request that starts to run.
	OnRun func(id string)
	// OnRequest is called with the path and the header of each such request; nil for none.
	OnRequest func(path string, header http.Header)
}

// App is one server.
type App struct {
	options   Options
	server    *http.Server
	startTime int64
	sequence  atomic.Int64
	draining  atomic.Bool
	// ackedAt is when the kernel received the acknowledgement of the drain; nil before.
	ackedAt atomic.Pointer[time.Time]
	crashed atomic.Bool
	// failure is the status with which the server fails requests that it has run; 0 for none.
	failure atomic.Int32
	// silent is set once the server sends no further check-ins.
	silent atomic.Bool
	// headers are added to each response; nil for none.
	headers atomic.Pointer[http.Header]
	// sent holds when the requests were sent.
	sent   sendTimes
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts a server. The error is that of listening on its address.
func Start(options Options) (*App, error) {
	listener, err := arrival.Listen(options.Address)
	if err != nil {
		return nil, err
	}
	options.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	a := &App{options: options, startTime: time.Now().UnixMilli(), cancel: cancel}
	a.server = &http.Server{Handler: a, ConnContext: withConn}
	a.silent.Store(options.Silent)
	a.done.Go(func() { _ = a.server.Serve(listener) })
	a.done.Go(func() { a.checkInLoop(ctx) })
	return a, nil
}

// Address returns where the server listens.
func (a *App) Address() string { return a.options.Address }

// Drain reports the server as draining from the next check-in on.
func (a *App) Drain() { a.draining.Store(true) }

// Silence stops the check-ins.
func (a *App) Silence() { a.silent.Store(true) }

// Fail has the server fail the requests that it has run with a status from now on; 0 ends
// it.
func (a *App) Fail(status int) { a.failure.Store(int32(status)) }

// SetHeaders has the server add headers to each response from now on, in place of the
// previous ones.
func (a *App) SetHeaders(headers http.Header) { a.headers.Store(&headers) }

// SentTimes returns when the requests were sent that the server received.
func (a *App) SentTimes() []time.Time { return a.sent.all() }

// SendLateCheckIn sends a check-in that says that the server is ready, with the sequence
// number of its first one, as if it had been delayed on the way.
func (a *App) SendLateCheckIn() error {
	if _, acknowledged := a.checkIn(context.Background(), false, 1); !acknowledged {
		return fmt.Errorf("the late check-in of %s was not acknowledged", a.options.ID)
	}
	return nil
}

// LateRequests returns the number of requests sent after the drain was acknowledged.
func (a *App) LateRequests() int64 {
	ackedAt := a.ackedAt.Load()
	if ackedAt == nil {
		return 0
	}
	return a.sent.after(*ackedAt)
}

// Acknowledged reports whether the node has acknowledged the drain.
func (a *App) Acknowledged() bool { return a.ackedAt.Load() != nil }

// Crashed reports whether a request has crashed the server.
func (a *App) Crashed() bool { return a.crashed.Load() }

// Stop stops the server immediately and closes its connections.
func (a *App) Stop() {
	a.cancel()
	_ = a.server.Close()
	a.done.Wait()
}

// ServeHTTP runs a request or responds to a health check.
func (a *App) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Rosemaryladder-Instance-Id", a.options.ID)
	w.Header().Set("X-Rosemaryladder-Instance-Load", fmt.Sprintf("0,0,%d", a.options.Slots))
	if headers := a.headers.Load(); headers != nil {
		maps.Copy(w.Header(), *headers)
	}
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Rosemaryladder-Request-Id")
	w.Header().Set("X-Rosemaryladder-Request-Id", id)
	if expected := r.Header.Get("X-Rosemaryladder-Expected-Instance"); expected != "" && expected != a.options.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.sent.add(a.sentAt(r))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.options.OnRun(id)
	if a.options.OnRequest != nil {
		a.options.OnRequest(r.URL.Path, r.Header)
	}
	if a.options.PoisonPath != "" && r.URL.Path == a.options.PoisonPath {
		delay, err := time.ParseDuration(r.URL.Query().Get("after"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		a.crashAfter(delay)
		<-r.Context().Done()
		return
	}
	if form := r.URL.Query().Get("endless"); form != "" {
		sendEndless(w, id, form)
		return
	}
	work, err := a.workTime(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	overdue, stop := deadline(r)
	defer stop()
	w.Header().Set("X-Rosemaryladder-Response-Signature", a.options.ID+"."+id)
	select {
	case <-time.After(work):
	case <-overdue:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if failure := a.failure.Load(); failure != 0 {
		w.WriteHeader(int(failure))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.Header.Get("X-Rosemaryladder-Caller-Service"), body)
}

// workTime returns the time that a request takes.
func (a *App) workTime(r *http.Request) (time.Duration, error) {
	if work := r.URL.Query().Get("work"); work != "" {
		return time.ParseDuration(work)
	}
	return a.options.ServiceTime, nil
}

// deadline returns a channel on which the deadline of a request is signalled; nil when it
// states none.
func deadline(r *http.Request) (overdue <-chan time.Time, stop func() bool) {
	millis, err := strconv.Atoi(r.Header.Get("X-Rosemaryladder-Deadline-Ms"))
	if err != nil {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	return timer.C, timer.Stop
}

// crashAfter crashes the server after a delay, whether the request that causes it is
// cancelled meanwhile or not.
func (a *App) crashAfter(delay time.Duration) {
	time.AfterFunc(delay, func() {
		a.crashed.Store(true)
		a.Stop()
	})
}

// sentAt returns when the local node sent a request. On a busy machine its handler starts
// long after its bytes have arrived.
func (a *App) sentAt(r *http.Request) time.Time {
	if a.options.SentAt != nil {
		return a.options.SentAt(r.RemoteAddr)
	}
	if conn, ok := r.Context().Value(connKey{}).(*arrival.Conn); ok {
		return conn.LastReceived()
	}
	return time.Now()
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
