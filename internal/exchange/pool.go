package exchange

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// pool holds the connections to one address.
type pool struct {
	options *Options
	address string

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// get returns an idle connection, for which kept is set, or dials a new one.
func (p *pool) get(ctx context.Context) (c *conn, kept bool, err error) {
	for {
		c, err := p.takeIdleOrReserve()
		if err != nil {
			return nil, false, err
		}
		if c == nil {
			c, err = p.connect(ctx)
			return c, false, err
		}
		if p.options.Now().Before(c.expires) && c.isUsable() {
			return c, true, nil
		}
		p.drop(c)
	}
}

// takeIdleOrReserve returns the most recently used idle connection. When there is
// none it counts a new connection as open and returns nil. It fails with
// result.Overloaded when MaxOpen is reached.
func (p *pool) takeIdleOrReserve() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.options.MaxOpen != nil && p.open >= p.options.MaxOpen() {
		return nil, result.Errorf(result.Overloaded, "the backend server at %s allows %d connections and all are in use", p.address, p.options.MaxOpen())
	}
	p.open++
	return nil, nil
}

func (p *pool) connect(ctx context.Context) (*conn, error) {
	netConn, err := p.options.Dial(ctx, "tcp", p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	c := newConn(netConn)
	if p.options.UnackedTimeout > 0 {
		if err := c.setUserTimeout(p.options.UnackedTimeout); err != nil {
			p.drop(c)
			return nil, err
		}
	}
	return c, nil
}

// put keeps a connection whose exchange has completed. announced is the idle
// timeout that the peer announced, or 0.
func (p *pool) put(c *conn, announced time.Duration) {
	idle := p.options.IdleTimeout
	if announced > 0 {
		idle = min(idle, announced)
	}
	c.expires = p.options.Now().Add(idle)
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.options.MaxIdle {
		p.mu.Unlock()
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// drop closes a connection and stops counting it as open.
func (p *pool) drop(c *conn) {
	c.Close()
	p.release()
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// sweep closes the connections that have been idle for too long and reports
// whether none is open any more.
func (p *pool) sweep() bool {
	now := p.options.Now()
	p.mu.Lock()
	var expired []*conn
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if c.expires.After(now) {
			remaining = append(remaining, c)
		} else {
			expired = append(expired, c)
		}
	}
	clear(p.idle[len(remaining):])
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0
}

// close closes the idle connections; those in use are closed when they are
// returned.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}

func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}
