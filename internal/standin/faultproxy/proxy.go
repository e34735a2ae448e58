// Package faultproxy is a TCP proxy on the loopback interface that delays, resets or
// stalls its connections, in one or both directions.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"rosemaryladder.dev/rosemaryladder/internal/standin/arrival"
)

// Fault is the fault that a proxy injects into its connections.
type Fault string

// The faults.
const (
	// None forwards all data.
	None Fault = ""
	// Delay delays every chunk by 60 ms.
	Delay Fault = "delay"
	// Reset resets open and new connections.
	Reset Fault = "reset"
	// Stall accepts connections and forwards nothing in either direction.
	Stall Fault = "silent"
	// StallResponses forwards what clients send and stalls what the target sends.
	StallResponses Fault = "no answers"
)

const (
	// delay is the delay of each chunk under Delay.
	delay = 60 * time.Millisecond
	// pollInterval is how often a stalled direction checks whether the fault has ended.
	pollInterval = 10 * time.Millisecond
	// acceptBackoff is the pause after a failed accept. Each one is logged, and all
	// proxies of a process run out of descriptors at the same time.
	acceptBackoff = 100 * time.Millisecond
	// maxChunkBytes is the maximum size of a forwarded chunk.
	maxChunkBytes = 16 << 10
)

// Proxy forwards the connections of one address to another.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Pointer[Fault]

	mu    sync.Mutex
	conns map[net.Conn]bool
	// lastSent holds when the client's latest chunk arrived, by the proxy's local address
	// of the connection to the target.
	lastSent map[string]time.Time
	closed   bool
}

// Start listens on an address and forwards its connections to the target.
func Start(address, target string) (*Proxy, error) {
	listener, err := arrival.Listen(address)
	if err != nil {
		return nil, err
	}
	p := newProxy(listener, target)
	go p.accept()
	return p, nil
}

func newProxy(listener net.Listener, target string) *Proxy {
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool), lastSent: make(map[string]time.Time)}
	p.Set(None)
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// LastSent returns when the client's latest chunk arrived on the connection whose remote
// address, as observed by the target, is remote. For an unknown connection it
// returns the current time, so that the connection does not count as delayed.
func (p *Proxy) LastSent(remote string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, found := p.lastSent[remote]
	if !found {
		return time.Now()
	}
	return at
}

func (p *Proxy) recordSent(client *arrival.Conn, server net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSent[server.LocalAddr().String()] = client.LastReceived()
}

// Set changes the fault. Reset also resets the open connections.
func (p *Proxy) Set(fault Fault) {
	p.fault.Store(&fault)
	if fault == Reset {
		p.resetAll()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.resetAll()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err == nil {
			go p.serve(client)
			continue
		}
		if p.isClosed() {
			return
		}
		logrus.WithError(err).WithField("address", p.Address()).Warn("cannot accept a connection; retrying")
		time.Sleep(acceptBackoff)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.terminate(client)
	if !p.track(client) || *p.fault.Load() == Reset {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.terminate(server)
	if !p.track(server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.forward(client, server, false, done)
	go p.forward(server, client, true, done)
	<-done
}

// forward copies one direction until reading or writing fails.
func (p *Proxy) forward(from, to net.Conn, isResponse bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !isResponse {
				p.recordSent(from.(*arrival.Conn), to)
			}
			p.applyFault(isResponse)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyFault blocks for as long as the fault delays a chunk.
func (p *Proxy) applyFault(isResponse bool) {
	for {
		switch fault := *p.fault.Load(); {
		case fault == Stall, fault == StallResponses && isResponse:
			time.Sleep(pollInterval)
		case fault == Delay:
			time.Sleep(delay)
			return
		default:
			return
		}
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[conn] = true
	return true
}

// terminate removes a connection and resets it.
func (p *Proxy) terminate(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.lastSent, conn.LocalAddr().String())
	p.mu.Unlock()
	reset(conn)
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset instead of a regular close.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
