package operator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
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
	// closeTimeout bounds the wait for requests in flight when the node stops.
	closeTimeout = 2 * time.Second
)

// Server serves the operator port. The routes are those of a go-zero rest server.
type Server struct {
	address string
	http    *httpserver.Server
}

// NewServer returns a server of the operator port at the IP and port. Start
// serves it.
func NewServer(ip string, port int, deps Dependencies) (*Server, error) {
	disableGoZeroDefaults()
	restServer, err := rest.NewServer(rest.RestConf{Middlewares: rest.MiddlewaresConf{Recover: true}})
	if err != nil {
		return nil, errors.Wrap(err, "create the server of the operator port")
	}
	api := newAPI(deps)
	restServer.AddRoutes(api.routes())
	handler, err := rest.NewServerless(restServer)
	if err != nil {
		return nil, errors.Wrap(err, "build the routes of the operator port")
	}
	closing, err := closingResponse("the node at " + ip + " is stopping")
	if err != nil {
		return nil, err
	}
	conns := &connLimit{limit: maxConnections, refused: api.counters.limitConns}
	return &Server{
		address: net.JoinHostPort(ip, strconv.Itoa(port)),
		http: httpserver.New(httpserver.Options{
			Handler: http.HandlerFunc(handler.Serve), Refusal: closing,
			ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
			MaxHeaderBytes: maxHeaderBytes, CloseTimeout: closeTimeout, ConnState: conns.onStateChange,
		}),
	}, nil
}

// Start listens and serves until the context ends. It then refuses new requests and waits
// for those in flight, at most for closeTimeout. It returns an error when it cannot listen
// on the port or cannot close the server.
func (s *Server) Start(ctx context.Context) error {
	socket, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen on the operator port")
	}
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(socket) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the operator port")
	case <-ctx.Done():
		return errors.Wrap(s.http.Close(), "close the operator port")
	}
}
