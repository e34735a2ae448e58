package call

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// probes is how often a server whose connection broke is dialled to tell
	// whether it is gone.
	probes = 4
	// probeInterval is the time between two of these dials.
	probeInterval = 20 * time.Millisecond
)

// pool holds the connections to one address.
type pool struct {
	address string
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// maxOpen bounds the connections in use and idle together; nil means no bound.
	maxOpen     func() int
	maxIdle     int
	idleTimeout time.Duration
	now         func() time.Time

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// get returns an idle connection or dials a new one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c, err := p.take()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.isUsable() {
			return c, nil
		}
		p.drop(c)
	}
}

// take returns the idle connection that was used last. Without one it reserves
// the place of a new connection and returns nil.
func (p *pool) take() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.maxOpen != nil && p.open >= p.maxOpen() {
		return nil, result.Errorf(result.Overloaded, "the backend server at %s allows %d connections and all are in use", p.address, p.maxOpen())
	}
	p.open++
	return nil, nil
}

func (p *pool) connect(ctx context.Context) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		p.forget()
		return nil, err
	}
	return newConn(raw), nil
}

// refuses reports whether the address refuses new connections. It asks more than
// once, because a process that ends closes its sockets one by one and its
// listener may be among the last. The broken connection that leads here was
// dropped, so the bound of connections is exceeded, by one, only when another
// call has taken its place.
func (p *pool) refuses(ctx context.Context) bool {
	for range probes {
		raw, err := p.dial(ctx, "tcp", p.address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		raw.Close()
		time.Sleep(probeInterval)
	}
	return false
}

// put keeps a connection whose call ended whole.
func (p *pool) put(c *conn) {
	c.idleSince = p.now()
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.maxIdle {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// drop closes a connection.
func (p *pool) drop(c *conn) {
	c.Close()
	p.forget()
}

func (p *pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweep closes the connections that have been idle for too long and reports
// whether the pool holds none.
func (p *pool) sweep() bool {
	oldest := p.now().Add(-p.idleTimeout)
	p.mu.Lock()
	kept := 0
	for kept < len(p.idle) && p.idle[kept].idleSince.Before(oldest) {
		kept++
	}
	expired := append([]*conn(nil), p.idle[:kept]...)
	p.idle = append(p.idle[:0], p.idle[kept:]...)
	p.mu.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0
}

// close drops the idle connections; those in use are dropped when they return.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}
