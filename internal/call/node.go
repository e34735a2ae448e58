package call

import (
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// panicLines limits the rate of log lines about panics, which are bugs in this
// program.
var panicLines = rate.Sometimes{First: 3, Interval: time.Minute}

// Node is the HTTP handler of the call port: the outbound proxy for callers and
// the inbound proxy of the local backend server.
type Node struct {
	config   Config
	deps     Deps
	metrics  *metrics
	outbound *outbound
	inbound  *inbound
	clients  []*exchange.Client
	peers    knownIPs
	idPrefix string
	sequence atomic.Uint64
	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a node that is ready to accept calls. Close closes its
// connections.
func New(config Config, deps Deps) (*Node, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	node := &Node{config: config, deps: deps, metrics: newMetrics(deps.Scope)}
	self := deps.View().Self
	node.idPrefix = self.ID + "-" + strconv.FormatUint(self.Incarnation, 36) + "-"
	nodeClient := exchange.NewClient(config.exchangeOptions(deps, deps.Dialer.DialContext, config.IdlePerNode))
	localDialer := dial.Dialer{LocalIP: deps.Dialer.LocalIP, Timeout: deps.Dialer.Timeout}
	serverOptions := config.exchangeOptions(deps, localDialer.DialContext, config.Calls)
	serverOptions.MaxOpen = deps.Server.Connections
	serverClient := exchange.NewClient(serverOptions)
	node.clients = []*exchange.Client{nodeClient, serverClient}
	node.inbound = &inbound{config: config, deps: deps, metrics: node.metrics, client: serverClient}
	node.outbound = &outbound{config: config, deps: deps, metrics: node.metrics, client: nodeClient, inbound: node.inbound}
	return node, nil
}

// ServeHTTP handles a call of a caller or of another node.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer n.recover()
	inFlight := n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	fromNode := r.Header[headerHop] != nil || r.Header[headerKept] != nil
	if refusal := n.check(r, inFlight, fromNode); refusal != nil {
		n.outbound.refuse(w, n.nextID(), "", refusal)
		return
	}
	switch {
	case r.Header[headerKept] != nil:
		n.inbound.serveRetained(w, r)
	case fromNode:
		n.inbound.serve(w, r)
	default:
		n.metrics.calls.Inc(1)
		n.outbound.serve(w, r, n.nextID())
	}
}

// Drain makes the node refuse new calls. Calls in flight continue.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.deps.Server.MarkLeaving()
}

// InFlight returns the number of calls in flight.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// Close closes the idle connections.
func (n *Node) Close() {
	for _, c := range n.clients {
		c.Close()
	}
}

// check refuses a request for reasons that do not depend on its target: limits
// of the node, untrusted headers and a drain.
func (n *Node) check(r *http.Request, inFlight int64, fromNode bool) *refusal {
	switch {
	case inFlight > int64(n.config.Calls):
		n.metrics.limitCalls.Inc(1)
		return refuse(result.Overloaded, "the node is at its limit of "+strconv.Itoa(n.config.Calls)+" concurrent calls")
	case fromNode && !n.peers.contains(n.deps.View(), r.RemoteAddr):
		n.metrics.untrustedHop.Inc(1)
		return refuse(result.NodeNotReady, "a header reserved for nodes was received from "+r.RemoteAddr+", which is not the address of a known node")
	case n.draining.Load() && r.Header[headerKept] == nil:
		return refuse(result.Draining, "node "+n.deps.View().Self.ID+" is leaving")
	case headBytes(r) > n.config.HeaderBytes:
		n.metrics.limitHead.Inc(1)
		return refuse(result.BodyTooLarge, "the request head exceeds the limit of "+strconv.Itoa(n.config.HeaderBytes)+" bytes")
	default:
		return nil
	}
}

// headBytes returns the size of a request head in bytes without the headers of
// the mesh, so that a call that is within the limit at its outbound proxy is
// within it at its inbound proxy.
func headBytes(r *http.Request) int {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		if isMeshHeader(name) {
			continue
		}
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// nextID returns the ID of a new call: host, incarnation and sequence number.
func (n *Node) nextID() string {
	return n.idPrefix + strconv.FormatUint(n.sequence.Add(1), 36)
}

// recover logs a panic and aborts the connection, so that no truncated response
// looks complete.
func (n *Node) recover() {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	if panicValue != http.ErrAbortHandler {
		n.metrics.panics.Inc(1)
		panicLines.Do(func() {
			n.deps.Logger.WithField("stack", string(debug.Stack())).Errorf("panic while handling a call: %v", panicValue)
		})
	}
	panic(http.ErrAbortHandler)
}
