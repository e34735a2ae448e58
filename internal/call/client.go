package call

import (
	"context"
	"net"
	"sync"
	"time"
)

// client sends calls to other nodes or to the backend server beside the node and
// owns the connections to them, one pool for each address.
type client struct {
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	maxOpen     func() int
	maxIdle     int
	idleTimeout time.Duration
	headBytes   int
	now         func() time.Time

	pools sync.Map // address to *pool
	stop  chan struct{}
	once  sync.Once
}

// start runs the removal of idle connections until close.
func (c *client) start() {
	c.stop = make(chan struct{})
	go func() {
		ticker := time.NewTicker(c.idleTimeout / 2)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
				c.sweep()
			}
		}
	}()
}

// pool returns the pool of an address.
func (c *client) pool(address string) *pool {
	if found, ok := c.pools.Load(address); ok {
		return found.(*pool)
	}
	found, _ := c.pools.LoadOrStore(address, &pool{
		address:     address,
		dial:        c.dial,
		maxOpen:     c.maxOpen,
		maxIdle:     c.maxIdle,
		idleTimeout: c.idleTimeout,
		now:         c.now,
	})
	return found.(*pool)
}

// sweep closes idle connections. A pool without any is removed, so that the
// number of pools follows the nodes in use; a call that still holds a removed
// pool is not harmed.
func (c *client) sweep() {
	c.pools.Range(func(address, found any) bool {
		if found.(*pool).sweep() {
			c.pools.Delete(address)
		}
		return true
	})
}

// close drops all idle connections.
func (c *client) close() {
	c.once.Do(func() { close(c.stop) })
	c.pools.Range(func(_, found any) bool {
		found.(*pool).close()
		return true
	})
}
