package claim

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// maxConns limits the connections to other nodes: the owners of each shard,
	// and some nodes that are asked for retained responses.
	maxConns = maxOwnersTried*Shards + 16
	// connIdleTimeout is how long an unused connection stays open.
	connIdleTimeout = 5 * time.Minute
)

// connPool keeps gRPC connections by address. It is safe for concurrent use.
type connPool struct {
	dialer dial.Dialer
	now    func() time.Time

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection with the times of its last use and acknowledgement.
type pooledConn struct {
	conn     *dial.Shared[*grpc.ClientConn]
	lastUsed time.Time
	// lastAck is when the peer last acknowledged a request.
	lastAck time.Time
	// unresponsiveUntil is the end of the backoff after an unacknowledged request.
	unresponsiveUntil time.Time
}

func newConnPool(dialer dial.Dialer, now func() time.Time) *connPool {
	return &connPool{dialer: dialer, now: now, conns: make(map[string]*pooledConn)}
}

// get returns a connection to an address and a function that ends its use. It returns
// errOwnerUnavailable while the address is marked as unresponsive.
func (p *connPool) get(address string) (conn *grpc.ClientConn, release func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pooled := p.conns[address]
	if pooled == nil {
		conn, err := p.connect(address)
		if err != nil {
			return nil, nil, err
		}
		p.evict()
		pooled = &pooledConn{conn: dial.NewShared(conn)}
		p.conns[address] = pooled
	}
	if p.now().Before(pooled.unresponsiveUntil) {
		return nil, nil, errOwnerUnavailable
	}
	pooled.lastUsed = p.now()
	return pooled.conn.Acquire(), pooled.conn.Release, nil
}

func (p *connPool) connect(address string) (*grpc.ClientConn, error) {
	reconnect := backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(p.dialer.Dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: dial.DefaultTimeout}),
		grpc.WithIdleTimeout(connIdleTimeout),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	)
}

// recordAck records that the peer acknowledged a request.
func (p *connPool) recordAck(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pooled := p.conns[address]; pooled != nil {
		pooled.lastAck = p.now()
	}
}

// sinceLastAck returns the time since the peer last acknowledged a request;
// maxRequestDuration when the pool has no connection to it.
func (p *connPool) sinceLastAck(address string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pooled := p.conns[address]; pooled != nil {
		return p.now().Sub(pooled.lastAck)
	}
	return maxRequestDuration
}

// markUnresponsive makes get fail for an address during unresponsiveBackoff.
func (p *connPool) markUnresponsive(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pooled := p.conns[address]; pooled != nil {
		pooled.unresponsiveUntil = p.now().Add(unresponsiveBackoff)
	}
}

// evict drops the least recently used connection when the pool is full. It is closed once
// no request uses it.
func (p *connPool) evict() {
	if len(p.conns) < maxConns {
		return
	}
	oldest := ""
	for address, pooled := range p.conns {
		if oldest == "" || pooled.lastUsed.Before(p.conns[oldest].lastUsed) {
			oldest = address
		}
	}
	p.conns[oldest].conn.Retire()
	delete(p.conns, oldest)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pooled := range p.conns {
		pooled.conn.Close()
		delete(p.conns, address)
	}
}
