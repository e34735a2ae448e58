package exchange

import (
	"sync"
	"time"
)

// Client sends requests and owns the connections that they use, in one pool per
// address. It is safe for concurrent use.
type Client struct {
	options   Options
	pools     sync.Map // address to *pool
	stop      chan struct{}
	closeOnce sync.Once
}

// NewClient returns a client that removes idle connections until Close.
func NewClient(options Options) *Client {
	c := &Client{options: options, stop: make(chan struct{})}
	go c.sweepLoop()
	return c
}

func (c *Client) sweepLoop() {
	ticker := time.NewTicker(c.options.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			c.sweep()
		}
	}
}

func (c *Client) pool(address string) *pool {
	if value, ok := c.pools.Load(address); ok {
		return value.(*pool)
	}
	value, _ := c.pools.LoadOrStore(address, &pool{options: &c.options, address: address})
	return value.(*pool)
}

// sweep closes the connections that have been idle for too long. A pool without
// connections is removed, so that the number of pools follows the nodes in use; a
// call that still holds a removed pool can keep using it.
func (c *Client) sweep() {
	c.pools.Range(func(address, value any) bool {
		if value.(*pool).sweep() {
			c.pools.Delete(address)
		}
		return true
	})
}

// OpenConnections returns the number of connections to an address, in use and
// idle.
func (c *Client) OpenConnections(address string) int {
	p := c.pool(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes the idle connections to an address, for example because the
// peer has exited.
func (c *Client) CloseIdle(address string) {
	c.pool(address).dropIdle()
}

// Close closes all idle connections; those in use are closed when they are
// returned.
func (c *Client) Close() {
	c.closeOnce.Do(func() { close(c.stop) })
	c.pools.Range(func(_, value any) bool {
		value.(*pool).close()
		return true
	})
}
