package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// announceHeaderTimeout is the maximum time that a backend server may take to
// send the head of an announcement.
const announceHeaderTimeout = 5 * time.Second

// announceServer serves the announce port.
type announceServer struct {
	http     *http.Server
	listener net.Listener
}

func newAnnounceServer(address string, handler http.Handler) (*announceServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the announce port")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: announceHeaderTimeout}
	return &announceServer{http: server, listener: listener}, nil
}

// run serves the announce port until the context ends.
func (s *announceServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve the announce port")
}
