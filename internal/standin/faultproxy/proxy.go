// Package faultproxy is a TCP proxy on the loopback interface that delays, resets,
// silences or cuts one way the connections that pass through it.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what the proxy does to its connections.
type Fault string

// The faults.
const (
	// None passes everything on.
	None Fault = ""
	// Delay holds every piece back for a while.
	Delay Fault = "delay"
	// Reset breaks open connections and new ones.
	Reset Fault = "reset"
	// Stall takes connections and passes nothing on in either direction.
	Stall Fault = "silent"
	// StallResponses passes on what clients send and holds back the answers.
	StallResponses Fault = "no answers"
)

const (
	// heldBack is the delay of a piece.
	heldBack = 60 * time.Millisecond
	// poll is how often a silenced direction looks whether it passes again.
	poll = 10 * time.Millisecond
	// pieceBytes is the largest piece that is passed on at once.
	pieceBytes = 16 << 10
)

// Proxy passes connections from one address on to another.
type Proxy struct {
	listener net.Listener
	target   string
	fault    atomic.Pointer[Fault]

	mu   sync.Mutex
	open map[net.Conn]bool
	// sent holds, by the proxy's own address of a connection to the target, when the
	// client's latest piece came.
	sent   map[string]time.Time
	closed bool
}

// Start listens on an address and passes connections on to the target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, open: make(map[net.Conn]bool), sent: make(map[string]time.Time)}
	p.Set(None)
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// LastSent returns when the client's latest piece came on the connection that the
// target sees from an address. It is now for a connection that the proxy doesn't
// know, so that nothing unknown counts as held back.
func (p *Proxy) LastSent(remote string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, found := p.sent[remote]
	if !found {
		return time.Now()
	}
	return at
}

func (p *Proxy) noteSent(server net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[server.LocalAddr().String()] = time.Now()
}

// Set changes the fault. Reset breaks what is open.
func (p *Proxy) Set(fault Fault) {
	p.fault.Store(&fault)
	if fault == Reset {
		p.breakAll()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.breakAll()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.drop(client)
	if !p.keep(client) || *p.fault.Load() == Reset {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.drop(server)
	if !p.keep(server) {
		return
	}
	done := make(chan struct{}, 2)
	go p.pass(client, server, false, done)
	go p.pass(server, client, true, done)
	<-done
}

// pass copies one direction until it breaks.
func (p *Proxy) pass(from, to net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !answers {
				p.noteSent(to)
			}
			p.wait(answers)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait holds a piece back as long as the fault says.
func (p *Proxy) wait(answers bool) {
	for {
		switch fault := *p.fault.Load(); {
		case fault == Stall, fault == StallResponses && answers:
			time.Sleep(poll)
		case fault == Delay:
			time.Sleep(heldBack)
			return
		default:
			return
		}
	}
}

func (p *Proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[conn] = true
	return true
}

// drop ends a connection with a reset.
func (p *Proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.open, conn)
	delete(p.sent, conn.LocalAddr().String())
	p.mu.Unlock()
	reset(conn)
}

func (p *Proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

// reset closes a connection so that its peer gets a reset instead of an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
