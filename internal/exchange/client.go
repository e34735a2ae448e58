package exchange

import (
	"sync"
	"time"
)

// Client sends requests and owns the connections that they use, one pool for
// each address. It is safe for concurrent use.
type Client struct {
	options Options
	pools   sync.Map // address to *pool
	stop    chan struct{}
	once    sync.Once
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

// pool returns the pool of an address.
func (c *Client) pool(address string) *pool {
	if found, ok := c.pools.Load(address); ok {
		return found.(*pool)
	}
	found, _ := c.pools.LoadOrStore(address, &pool{options: &c.options, address: address})
	return found.(*pool)
}

// sweep closes idle connections. A pool without any is removed, so that the
// number of pools follows the nodes in use; a call that still holds a removed
// pool is not harmed.
func (c *Client) sweep() {
	c.pools.Range(func(address, found any) bool {
		if found.(*pool).sweep() {
			c.pools.Delete(address)
		}
		return true
	})
}

// OpenConnections returns the number of connections to an address, in use and idle.
func (c *Client) OpenConnections(address string) int {
	found := c.pool(address)
	found.mu.Lock()
	defer found.mu.Unlock()
	return found.open
}

// CloseIdle closes the idle connections to an address, for example because its
// peer was found to be gone.
func (c *Client) CloseIdle(address string) {
	c.pool(address).dropIdle()
}

// Close drops all idle connections; those in use are dropped when they return.
func (c *Client) Close() {
	c.once.Do(func() { close(c.stop) })
	c.pools.Range(func(_, found any) bool {
		found.(*pool).close()
		return true
	})
}
