package sidecar

import (
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/settings"
)

const (
	// readHeaderTimeout bounds how long a request head may take.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above the idle time of every client: peers close after 10 s, and
	// idleConns closes the connections of callers after the operators' limit.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes bounds a request head.
	maxHeadBytes = 64 << 10
	// frontName names the listener of the callers.
	frontName = "front"
	// metricsPath serves the metrics.
	metricsPath = "/metrics"
)

// listener is one server of the node.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// listen opens all addresses.
func (s *Sidecar) listen(loaded settings.Sidecar) error {
	metrics := http.NewServeMux()
	metrics.Handle("GET "+metricsPath, s.metrics.Handler)
	addresses := []struct {
		name, address string
		handler       http.Handler
	}{
		{frontName, loaded.Listen.Outbound, s.proxy.OutboundHandler()},
		{"gate", loaded.Listen.Inbound, s.proxy.InboundHandler(s.registry)},
		{"announce", loaded.Listen.Announce, s.adapter.AnnouncementHandler(s.server, s.log, s.metrics.Scope)},
		{"ready", loaded.Listen.Ready, s.adapter.ReadinessHandler(s.ready)},
		{"metrics", net.JoinHostPort(loaded.Node.IP, strconv.Itoa(loaded.Listen.Metrics)), metrics},
	}
	for _, a := range addresses {
		l, err := newListener(a.name, a.address, a.handler)
		if err != nil {
			return err
		}
		if a.name == frontName {
			l.server.ConnState = s.idleConns.note
		}
		s.servers = append(s.servers, l)
	}
	return nil
}

func newListener(name, address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the %s address", name)
	}
	return &listener{name: name, socket: socket, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		// The server logs broken connections of clients, which the proxy counts.
		ErrorLog: log.New(io.Discard, "", 0),
	}}, nil
}

// serve answers until the listener is closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve the %s address", l.name)
	}
	return nil
}

func (l *listener) close() { l.server.Close() }
