package call

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Server serves the call port.
type Server struct {
	address string
	http    *httpserver.Server
	failed  chan error
}

// NewServer returns a server for the IP address and port; with port 0 the
// system chooses one.
func NewServer(config Config, ip string, port int, handler http.Handler) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	closing, err := refuse(result.Draining, "the node at "+ip+" is leaving").encode()
	if err != nil {
		return nil, err
	}
	return &Server{
		address: net.JoinHostPort(ip, strconv.Itoa(port)),
		http: httpserver.New(httpserver.Options{
			Handler: handler, Refusal: closing,
			ReadHeaderTimeout: config.ReadHeaderTimeout, IdleTimeout: config.ServerIdleTimeout,
			// The handler enforces the limit and counts refusals; this is a second,
			// hard limit.
			MaxHeaderBytes: 2 * config.HeaderBytes,
		}),
		failed: make(chan error, 1),
	}, nil
}

// Start starts to listen and returns the address.
func (s *Server) Start() (net.Addr, error) {
	socket, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the call port")
	}
	go func() {
		if err := s.http.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- errors.Wrap(err, "serve the call port")
		}
	}()
	return socket.Addr(), nil
}

// Failed delivers the error when the server stops without Shutdown.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown refuses the connections without a call, stops listening and waits
// until no call is in flight or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the server of the call port")
}
