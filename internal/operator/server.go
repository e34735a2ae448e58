package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// requestTimeout bounds one question of an operator.
	requestTimeout = 15 * time.Second
	// maxRequestBytes bounds the body of a change.
	maxRequestBytes = 4 << 20
	// maxConnections bounds the requests that are served at once.
	maxConnections = 64
	// readHeaderTimeout bounds how long a tool may take to send a request head.
	readHeaderTimeout = 5 * time.Second
)

// Server serves the operator port with a go-zero rest server.
type Server struct {
	rest *rest.Server
	http chan *http.Server
}

// NewServer returns a server for the IP and port.
func NewServer(ip string, port int, parts Parts) (*Server, error) {
	conf := rest.RestConf{
		Host:     ip,
		Port:     port,
		MaxBytes: maxRequestBytes,
		MaxConns: maxConnections,
		Timeout:  requestTimeout.Milliseconds(),
		Middlewares: rest.MiddlewaresConf{
			Recover:  true,
			MaxConns: true,
			MaxBytes: true,
			Timeout:  true,
		},
	}
	created, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create the server of the operator port")
	}
	created.AddRoutes(newAPI(parts).routes())
	return &Server{rest: created, http: make(chan *http.Server, 1)}, nil
}

// Start listens and serves until Shutdown. It returns an error when the port
// cannot be used.
func (s *Server) Start(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if fault := recover(); fault != nil {
				failed <- errors.Errorf("listen on the operator port: %v", fault)
			}
		}()
		s.rest.StartWithOpts(func(server *http.Server) {
			server.ReadHeaderTimeout = readHeaderTimeout
			s.http <- server
		})
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return s.shutdown()
}

func (s *Server) shutdown() error {
	select {
	case server := <-s.http:
		return errors.Wrap(server.Close(), "close the operator port")
	default:
		return nil
	}
}
