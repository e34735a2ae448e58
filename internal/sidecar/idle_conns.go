package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// idleCheckInterval is the time between two checks of the idle connections of
// callers. It is short compared with the operators' limit of several seconds.
const idleCheckInterval = time.Second

// idleConns closes connections of callers that stay idle for longer than the
// operators allow. The limit may change with each configuration, which
// http.Server.IdleTimeout does not support.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{idleSince: make(map[net.Conn]time.Time)} }

// trackState follows the state of a connection; it is the http.Server.ConnState
// callback.
func (c *idleConns) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// closeIdle closes the connections that have been idle for at least the limit. A
// request may be in transit on one of them; callers must not use a connection that
// late.
func (c *idleConns) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) >= limit {
			// The server drops the connection when its next read fails.
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}

// run closes idle connections until the context ends.
func (c *idleConns) run(ctx context.Context, routes *routing.Holder) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if table := routes.Load(); table != nil {
				c.closeIdle(now, table.Limits().IdleTimeout)
			}
		case <-ctx.Done():
			return
		}
	}
}
