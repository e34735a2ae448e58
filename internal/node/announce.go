package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
)

const (
	// announceHeaderTimeout is the maximum time that a backend server may take to
	// send the head of an announcement.
	announceHeaderTimeout = 5 * time.Second
	// announceCloseTimeout bounds the wait for announcements in flight when the node
	// stops. The node handles one without waiting for anything but its body.
	announceCloseTimeout = 500 * time.Millisecond
)

// announceServer serves the announce port.
type announceServer struct {
	http     *httpserver.Server
	listener net.Listener
}

// newAnnounceServer returns a server that ends idle connections without a response:
// backend servers expect none without an announcement.
func newAnnounceServer(address string, handler http.Handler) (*announceServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the announce port")
	}
	server := httpserver.New(httpserver.Options{
		Handler: handler, ReadHeaderTimeout: announceHeaderTimeout, CloseTimeout: announceCloseTimeout,
	})
	return &announceServer{http: server, listener: listener}, nil
}

// run serves the announce port until the context ends.
func (s *announceServer) run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the announce port")
	case <-ctx.Done():
		return errors.Wrap(s.http.Close(), "close the announce port")
	}
}
