package gossip

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// pool reuses connections. When it is full, it closes the least recently used idle
// connection.
type pool struct {
	config   Config
	dialer   dial.Dialer
	now      func() time.Time
	counters *counters

	mu          sync.Mutex
	connections map[string]*connection
	closed      bool
}

func newPool(config Config, deps Dependencies, counters *counters) *pool {
	return &pool{
		config:      config,
		dialer:      deps.Dialer,
		now:         deps.Now,
		counters:    counters,
		connections: make(map[string]*connection),
	}
}

// acquire returns the connection to an address, creating it if needed. The caller
// must release it.
func (p *pool) acquire(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.connections[address]
	if conn == nil {
		p.evictIfFull()
		var err error
		conn, err = newConnection(address, p.dialer, p.config.MaxMessageBytes)
		if err != nil {
			return nil, err
		}
		p.connections[address] = conn
		p.counters.connections.Update(float64(len(p.connections)))
	}
	conn.refs++
	conn.lastUsed = p.now()
	return conn, nil
}

func (p *pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.refs--
	conn.lastUsed = p.now()
	if p.closed {
		_ = conn.grpc.Close()
	}
}

// closeUnused closes a connection unless it is in use. Otherwise grpc-go would
// continue to dial a node that no longer runs until ConnectionIdle has passed.
func (p *pool) closeUnused(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.connections[address]; conn != nil && conn.refs == 0 {
		p.close(address)
	}
}

// closeIdle closes the connections that have not been used within ConnectionIdle.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.connections {
		if conn.refs == 0 && p.now().Sub(conn.lastUsed) >= p.config.ConnectionIdle {
			p.close(address)
		}
	}
}

// closeAll closes every connection; those in use are closed when they are released.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, conn := range p.connections {
		if conn.refs == 0 {
			p.close(address)
		}
	}
}

func (p *pool) evictIfFull() {
	if len(p.connections) < p.config.MaxConnections {
		return
	}
	oldest := ""
	for address, conn := range p.connections {
		if conn.refs == 0 && (oldest == "" || conn.lastUsed.Before(p.connections[oldest].lastUsed)) {
			oldest = address
		}
	}
	if oldest != "" {
		p.counters.evicted.Inc(1)
		p.close(oldest)
	}
}

func (p *pool) close(address string) {
	_ = p.connections[address].grpc.Close()
	delete(p.connections, address)
	p.counters.connections.Update(float64(len(p.connections)))
}
