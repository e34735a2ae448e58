package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
)

const (
	// requestTimeout is the timeout for handling one request. It is below the
	// 10 s timeout of the command-line tool, so that the tool receives the reason.
	requestTimeout = 9 * time.Second
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 4 << 20
	// maxRequests is the maximum number of concurrent requests.
	maxRequests = 64
	// maxConnections is the maximum number of open connections.
	maxConnections = 256
	// maxHeaderBytes is the maximum size of a request head.
	maxHeaderBytes = 16 << 10
	// readHeaderTimeout is the timeout for receiving a request head.
	readHeaderTimeout = 5 * time.Second
	// readTimeout is the timeout for receiving a complete request.
	readTimeout = 10 * time.Second
	// writeTimeout is the timeout for handling a request and sending its response.
	writeTimeout = 20 * time.Second
)

// Server serves the operator port with a go-zero rest server.
type Server struct {
	rest  *rest.Server
	conns *connLimit
	http  chan *http.Server
}

// NewServer returns a server of the operator port at the IP and port. Start
// serves it.
func NewServer(ip string, port int, deps Dependencies) (*Server, error) {
	disableGoZeroDefaults()
	conf := rest.RestConf{
		Host:        ip,
		Port:        port,
		Middlewares: rest.MiddlewaresConf{Recover: true},
	}
	restServer, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create the server of the operator port")
	}
	api := newAPI(deps)
	restServer.AddRoutes(api.routes())
	conns := &connLimit{limit: maxConnections, refused: api.counters.limitConns}
	return &Server{rest: restServer, conns: conns, http: make(chan *http.Server, 1)}, nil
}

// Start listens and serves until the context ends. It returns an error when it
// cannot listen on the port or cannot close the server.
func (s *Server) Start(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if panicValue := recover(); panicValue != nil {
				failed <- errors.Errorf("listen on the operator port: %v", panicValue)
			}
		}()
		s.rest.StartWithOpts(func(server *http.Server) {
			s.applyLimits(server)
			s.http <- server
		})
	}()
	// The server is known before it listens, so that one that is still starting is
	// closed too.
	var server *http.Server
	select {
	case err := <-failed:
		return err
	case server = <-s.http:
	}
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return errors.Wrap(server.Close(), "close the operator port")
	}
}

// applyLimits sets the limits of the HTTP server and of its connections.
func (s *Server) applyLimits(server *http.Server) {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.ReadTimeout = readTimeout
	server.WriteTimeout = writeTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnState = s.conns.onStateChange
}
