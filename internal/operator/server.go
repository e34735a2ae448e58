package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// requestTimeout bounds one question of an operator. It is below the 10 s that
	// the tool waits, so that the tool gets the reason.
	requestTimeout = 9 * time.Second
	// maxRequestBytes bounds the body of a change.
	maxRequestBytes = 4 << 20
	// maxRequests bounds the requests that are answered at once.
	maxRequests = 64
	// maxConnections bounds the open connections.
	maxConnections = 256
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout bounds how long a tool may take to send a request head.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds how long a tool may take to send a request.
	readTimeout = 10 * time.Second
	// writeTimeout bounds a request and its answer.
	writeTimeout = 20 * time.Second
)

// Server serves the operator port with a go-zero rest server.
type Server struct {
	rest  *rest.Server
	conns *connLimit
	http  chan *http.Server
}

// NewServer returns a server for the IP and port.
func NewServer(ip string, port int, deps Dependencies) (*Server, error) {
	conf := rest.RestConf{
		Host:        ip,
		Port:        port,
		Middlewares: rest.MiddlewaresConf{Recover: true},
	}
	created, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create the server of the operator port")
	}
	api := newAPI(deps)
	created.AddRoutes(api.routes())
	conns := &connLimit{limit: maxConnections, refused: api.counters.limitConns}
	return &Server{rest: created, conns: conns, http: make(chan *http.Server, 1)}, nil
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
			s.bound(server)
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

// bound sets the limits of the connections.
func (s *Server) bound(server *http.Server) {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.ReadTimeout = readTimeout
	server.WriteTimeout = writeTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnState = s.conns.follow
}
