package call

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
)

// processLifetime exceeds the lifetime of any process. With its defaults
// go-zero would close the server 1 s after SIGTERM and repeat the signal after
// 5.5 s, but the daemon itself decides when the calls in flight are done.
const processLifetime = 10 * 365 * 24 * time.Hour

var disableGoZeroDefaults = sync.OnceFunc(func() {
	proc.Setup(proc.ShutdownConf{WrapUpTime: processLifetime, WaitTime: processLifetime})
	logx.Disable()
	logx.DisableStat()
})

// Server serves the call port. It is a go-zero REST server without middleware,
// whose router passes every request to one handler.
type Server struct {
	rest    *rest.Server
	handler http.Handler
	config  Config
	address net.Addr
	http    *http.Server
	started chan struct{}
	failed  chan error
}

// NewServer returns a server for the IP address and port; with port 0 the
// system chooses one.
func NewServer(config Config, ip string, port int, handler http.Handler) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	disableGoZeroDefaults()
	server := &Server{handler: handler, config: config, started: make(chan struct{}), failed: make(chan error, 1)}
	conf := rest.RestConf{Host: ip, Port: port}
	restServer, err := rest.NewServer(conf, rest.WithRouter(passRouter{handler}))
	if err != nil {
		return nil, errors.Wrap(err, "create the server of the call port")
	}
	server.rest = restServer
	return server, nil
}

// Start starts to listen and returns the address.
func (s *Server) Start() (net.Addr, error) {
	go s.run()
	select {
	case <-s.started:
		return s.address, nil
	case err := <-s.failed:
		return nil, errors.Wrap(err, "listen on the call port")
	}
}

// Shutdown stops listening and waits until no call is in flight or the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "stop the server of the call port")
}

// run serves until Shutdown. go-zero panics when it cannot listen.
func (s *Server) run() {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			s.failed <- errors.Errorf("%v", panicValue)
		}
	}()
	s.rest.StartWithOpts(s.configure)
}

// configure sets what go-zero leaves to its user. The base context is created
// after the listener, so it provides the port that the system chose.
func (s *Server) configure(server *http.Server) {
	s.http = server
	// The handler enforces the limit and counts refusals; this is a second,
	// hard limit.
	server.MaxHeaderBytes = 2 * s.config.HeaderBytes
	server.ReadHeaderTimeout = s.config.ReadHeaderTimeout
	server.IdleTimeout = s.config.ServerIdleTimeout
	server.ErrorLog = log.New(io.Discard, "", 0)
	server.BaseContext = func(listener net.Listener) context.Context {
		s.address = listener.Addr()
		close(s.started)
		return context.Background()
	}
}
