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
	// readHeaderTimeout bounds the time for reading a request header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is above the idle time of every client: peers close after 10 s, and
	// idleConns closes the connections of callers at the operators' limit.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 64 << 10
	// outboundName names the listener for callers, the one of the outbound proxy.
	outboundName = "front"
	metricsPath  = "/metrics"
)

// listener is an HTTP server of the node with its socket.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
}

// listen opens the listeners of all addresses.
func (s *Sidecar) listen(loaded settings.Sidecar) error {
	metrics := http.NewServeMux()
	metrics.Handle("GET "+metricsPath, s.metrics.Handler)
	addresses := []struct {
		name, address string
		handler       http.Handler
	}{
		{outboundName, loaded.Listen.Outbound, s.proxy.OutboundHandler()},
		{"gate", loaded.Listen.Inbound, s.proxy.InboundHandler(s.registry)},
		{"announce", loaded.Listen.Announce, s.adapter.AnnouncementHandler(s.tracker, s.log, s.metrics.Scope)},
		{"ready", loaded.Listen.Ready, s.adapter.ReadinessHandler(s.ready)},
		{"metrics", net.JoinHostPort(loaded.Node.IP, strconv.Itoa(loaded.Listen.Metrics)), metrics},
	}
	for _, a := range addresses {
		l, err := newListener(a.name, a.address, a.handler)
		if err != nil {
			return err
		}
		if a.name == outboundName {
			l.server.ConnState = s.idleConns.trackState
		}
		s.listeners = append(s.listeners, l)
	}
	return nil
}

func newListener(name, address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on the %s address", name)
	}
	return &listener{name: name, socket: socket, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// net/http would log broken client connections, which the proxy counts.
		ErrorLog: log.New(io.Discard, "", 0),
	}}, nil
}

// serve serves until the listener is closed.
func (l *listener) serve() error {
	if err := l.server.Serve(l.socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve the %s address", l.name)
	}
	return nil
}

func (l *listener) close() { l.server.Close() }
