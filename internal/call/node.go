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

// panicLines bounds the log lines about panics, which are faults of this program.
var panicLines = rate.Sometimes{First: 3, Interval: time.Minute}

// Node is the handler of the call port. It is a front for callers and the gate
// of the backend server beside it.
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

// New returns a node that takes calls at once; Close frees its connections.
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

// ServeHTTP answers a call of a caller or of another node.
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

// Drain makes the node refuse new calls. Calls in flight go on.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.deps.Server.StopAll()
}

// InFlight returns the number of calls that the node carries.
func (n *Node) InFlight() int64 { return n.inFlight.Load() }

// Close drops the idle connections.
func (n *Node) Close() {
	for _, c := range n.clients {
		c.Close()
	}
}

// check refuses what the node takes from nobody at this moment.
func (n *Node) check(r *http.Request, inFlight int64, fromNode bool) *refusal {
	switch {
	case inFlight > int64(n.config.Calls):
		n.metrics.limitCalls.Inc(1)
		return refuse(result.Overloaded, "the node carries "+strconv.Itoa(n.config.Calls)+" calls, which is its limit")
	case fromNode && !n.peers.contains(n.deps.View(), r.RemoteAddr):
		n.metrics.untrustedHop.Inc(1)
		return refuse(result.NodeNotReady, "the header of a node came from "+r.RemoteAddr+", which is no known node")
	case n.draining.Load() && r.Header[headerKept] == nil:
		return refuse(result.Draining, "node "+n.deps.View().Self.ID+" is leaving")
	case headBytes(r) > n.config.HeaderBytes:
		n.metrics.limitHead.Inc(1)
		return refuse(result.BodyTooLarge, "the head of the request exceeds the limit of "+strconv.Itoa(n.config.HeaderBytes)+" bytes")
	default:
		return nil
	}
}

// headBytes returns the size of a request head without the headers of the nodes,
// so that a call within the limit at its front is within it at its gate.
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

// nextID returns the id of a new call: host, incarnation and a number.
func (n *Node) nextID() string {
	return n.idPrefix + strconv.FormatUint(n.sequence.Add(1), 36)
}

// recover turns a fault of this program into an aborted connection, so that no
// answer looks whole, and logs it.
func (n *Node) recover() {
	panicValue := recover()
	if panicValue == nil {
		return
	}
	if panicValue != http.ErrAbortHandler {
		n.metrics.panics.Inc(1)
		panicLines.Do(func() {
			n.deps.Logger.WithField("stack", string(debug.Stack())).Errorf("a call ended with a panic: %v", panicValue)
		})
	}
	panic(http.ErrAbortHandler)
}
