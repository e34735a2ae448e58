package sidecar

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/limitsync"
	"rosemaryladder.dev/rosemaryladder/internal/settings"
)

const (
	// readHeaderTimeout bounds the time for reading a request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above the idle time of every client: peers close after 10 s.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// closeTimeout bounds the wait for the connections to end.
	closeTimeout = 150 * time.Millisecond
	metricsPath  = "/metrics"
)

// server serves the connections of a socket until Close.
type server interface {
	Serve(net.Listener) error
	Close() error
}

// listener is a server of the node with its socket.
type listener struct {
	name   string
	socket net.Listener
	server server
}

// listen opens the listeners of all addresses.
func (s *Sidecar) listen(loaded settings.Sidecar) error {
	metrics := http.NewServeMux()
	metrics.Handle("GET "+metricsPath, s.metrics.Handler)
	addresses := []struct {
		name, address string
		handler       http.Handler
		// refusal is sent to other nodes only: callers of the other ports expect no bytes
		// without a request.
		refusal []byte
	}{
		{"gate", loaded.Listen.Inbound, s.proxy.InboundHandler(s.peerHandler()), s.proxy.ClosingResponse()},
		{"announce", loaded.Listen.Announce, s.adapter.AnnouncementHandler(s.tracker, loaded.Node.Server, s.log, s.metrics.Scope), nil},
		{"ready", loaded.Listen.Ready, s.adapter.ReadinessHandler(s.ready), nil},
		{"metrics", net.JoinHostPort(loaded.Node.IP, strconv.Itoa(loaded.Listen.Metrics)), metrics, nil},
	}
	if err := s.addListener("front", loaded.Listen.Outbound, s.callers); err != nil {
		return err
	}
	for _, a := range addresses {
		if err := s.addListener(a.name, a.address, newHTTPServer(a.handler, a.refusal)); err != nil {
			return err
		}
	}
	return nil
}

// peerHandler returns the handler of what other nodes send beside requests.
func (s *Sidecar) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(limitsync.Path, s.limits)
	mux.Handle("/", s.registry)
	return mux
}

// newHTTPServer returns a server for the peers of the node, its backend server or its
// operators. refusal is the response to requests while the server closes; nil for none.
func newHTTPServer(handler http.Handler, refusal []byte) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Handler: handler, Refusal: refusal, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, CloseTimeout: closeTimeout,
	})
}

func (s *Sidecar) addListener(name, address string, server server) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on the %s address", name)
	}
	s.listeners = append(s.listeners, &listener{name: name, socket: socket, server: server})
	return nil
}

// serve serves until the listener is closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve the %s address", l.name)
	}
	return nil
}

// close closes the socket and all connections. An error is that of a socket which is
// closed already.
func (l *listener) close() { _ = l.server.Close() }
