package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/ingress"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

const (
	testService = "orders"
	testHost    = "orders.example"
)

var testHeaders = HeaderNames{
	RequestID: "X-Id", DeadlineMs: "X-Deadline", Signature: "X-Signature", ExpectedServer: "X-Expected",
	NotExecuted: "X-Not-Executed", CallerService: "X-Caller", Workspace: "X-Workspace", ServerID: "X-Server", ServerLoad: "X-Load",
	ServerLimit: "X-Limit", ServerLeaving: "X-Leaving",
}

// testNode is one node with a backend server.
type testNode struct {
	proxy       *Proxy
	tracker     *instance.Tracker
	slots       *slots.Controller
	outboundURL string
	inbound     *httptest.Server
	// inboundAddress is the address in the entry of the node, and state the state there.
	inboundAddress string
	state          fleet.State
	backend        *testBackend
	server         *httptest.Server
	crashes        crash.Record
	// sequence is the sequence number of the node's entry.
	sequence  int64
	name      string
	service   string
	slotCount int
}

// testFleet is a number of nodes that share one fleet table.
type testFleet struct {
	t     testing.TB
	nodes []*testNode
	table *fleet.Table
	// mu guards the sequence numbers of the nodes.
	mu sync.Mutex
	// rawServer is the address of the backend server of all nodes; empty for one
	// HTTP server a node.
	rawServer string
	// timeout is the time of the routes; 0 for defaultTimeout.
	timeout time.Duration
	// services and rawServers are the services of the nodes and the addresses of their
	// servers, where they differ from testService and rawServer.
	services, rawServers map[string]string
	// routes are the routes in force; nil for testRoutes with timeout.
	routes *routing.Holder
	// dial opens the connections of the nodes; nil for the usual ones.
	dial exchange.DialFunc
	// random is the source of the nodes' random numbers; nil for 0.5 always.
	random func() float64
	// keysConfirmed tells whether keys are accepted; nil if always.
	keysConfirmed func(routing.Version) bool
	// log receives the lines of the nodes; nil to discard them.
	log *logrus.Entry
	// clockOffset is added to the time that the nodes read, in nanoseconds.
	clockOffset atomic.Int64
}

// now returns the time that the nodes read.
func (f *testFleet) now() time.Time { return time.Now().Add(time.Duration(f.clockOffset.Load())) }

// testBackend is a backend server that counts its runs by request ID.
type testBackend struct {
	mu     sync.Mutex
	runs   map[string]int
	handle func(w http.ResponseWriter, r *http.Request)
}

func (b *testBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testHeaders.RequestID)
	b.mu.Lock()
	b.runs[id]++
	handle := b.handle
	b.mu.Unlock()
	w.Header().Set(testHeaders.RequestID, id)
	w.Header().Set(testHeaders.Signature, "signed")
	if handle != nil {
		handle(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, "response to "+id+": "+string(body))
}

func (b *testBackend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// defaultTimeout is the time of the routes of most fleets.
const defaultTimeout = 2 * time.Second

// testRoutes returns a table with an idempotent route /get/ and a non-idempotent one,
// /post/.
func testRoutes(timeout time.Duration) *routing.Holder { return testRoutesWith(timeout, 1<<20) }

// testRoutesWith returns the routes of testRoutes with a limit on bodies.
func testRoutesWith(timeout time.Duration, bodyBytes int64) *routing.Holder {
	destinations := []routing.Destination{{Service: testService, Weight: 1}}
	route := routing.Route{Host: testHost, Timeout: timeout, Objective: 500 * time.Millisecond, MaxAttempts: 2, Destinations: destinations}
	get, post := route, route
	get.Name, get.Prefix, get.Idempotent = "get", "/get/", true
	post.Name, post.Prefix = "post", "/post/"
	limits := routing.Limits{HeaderBytes: 16 << 10, BodyBytes: bodyBytes, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	services := []routing.Service{{Name: testService, HealthPath: "/healthz", MaxConnections: 100}}
	table, err := routing.NewTable(1, []routing.Route{get, post}, services, limits)
	if err != nil {
		panic(err)
	}
	holder := &routing.Holder{}
	holder.Publish(table)
	return holder
}

// newTestFleet starts nodes whose servers have slotCount slots each.
func newTestFleet(t testing.TB, nodes, slotCount int) *testFleet {
	return startTestFleet(&testFleet{t: t}, nodes, slotCount)
}

func startTestFleet(f *testFleet, nodes, slotCount int) *testFleet {
	f.table = fleet.NewTable(time.Second)
	if f.timeout == 0 {
		f.timeout = defaultTimeout
	}
	routes := f.routes
	if routes == nil {
		routes = testRoutes(f.timeout)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.newNode(string(rune('a'+i)), slotCount, routes))
	}
	return f
}

func (f *testFleet) newNode(name string, slotCount int, routes *routing.Holder) *testNode {
	n := &testNode{name: name, service: testService, backend: &testBackend{runs: make(map[string]int)}}
	if service := f.services[name]; service != "" {
		n.service = service
	}
	n.server = httptest.NewServer(n.backend)
	f.t.Cleanup(n.server.Close)
	n.tracker = instance.NewTracker(n.service, time.Now)
	_, err := n.tracker.Announce(instance.Announcement{Server: "server-" + name, Service: n.service, Slots: slotCount, StartTime: 1})
	if err != nil {
		f.t.Fatal(err)
	}
	n.slots = slots.NewController(time.Now)
	n.slots.Open(slotCount)
	balancer, err := balance.New(balance.Config{Domain: "d", Regions: map[string]string{"d": "r"}})
	if err != nil {
		f.t.Fatal(err)
	}
	config := DefaultConfig()
	config.Node, config.Server = name, strings.TrimPrefix(n.server.URL, "http://")
	if f.rawServer != "" {
		config.Server = f.rawServer
	}
	if server := f.rawServers[name]; server != "" {
		config.Server = server
	}
	config.BudgetSlack = 1000
	dial := f.dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	random := f.random
	if random == nil {
		random = func() float64 { return 0.5 }
	}
	keysConfirmed := f.keysConfirmed
	if keysConfirmed == nil {
		keysConfirmed = func(routing.Version) bool { return true }
	}
	log := f.log
	if log == nil {
		log = telemetry.DiscardLogger()
	}
	n.proxy, err = New(config, Deps{
		Headers: testHeaders, Routes: routes, View: f.table.View, Balancer: balancer,
		Server: n.tracker, Slots: n.slots, Crashes: &n.crashes, CrashesChanged: func() { f.publish(n) }, Dial: dial, Scope: tally.NoopScope, Log: log,
		NewerVersion: func(routing.Version) {}, Suspect: func(fleet.Entry) {}, ServerLost: func(id string) { n.tracker.MarkAbsent(id) },
		ServerLeaves:  func(id string, startTime int64) { n.tracker.Leave(id, startTime) },
		KeysConfirmed: keysConfirmed, Limiter: ratelimit.NewLimiter(ratelimit.DefaultConfig(), random),
		Now: f.now, Random: random,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	n.inbound = httptest.NewServer(n.proxy.InboundHandler(http.NotFoundHandler()))
	f.t.Cleanup(n.inbound.Close)
	f.serveCallers(n, routes)
	f.t.Cleanup(n.proxy.Close)
	n.slotCount, n.inboundAddress, n.state = slotCount, n.inbound.Listener.Addr().String(), fleet.Ready
	f.publish(n)
	return n
}

// serveCallers starts the server for the callers of a node.
func (f *testFleet) serveCallers(n *testNode, routes *routing.Holder) {
	config := ingress.DefaultConfig()
	config.Handler, config.Reject, config.Idempotent = n.proxy.OutboundHandler(), n.proxy.Reject, n.proxy.Idempotent
	config.Limits = func() *routing.Limits { limits := routes.Load().Limits(); return &limits }
	config.Now, config.Log, config.Scope = f.now, telemetry.DiscardLogger(), tally.NoopScope
	callers, err := ingress.NewServer(config)
	if err != nil {
		f.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n.outboundURL = "http://" + listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- callers.Serve(listener) }()
	f.t.Cleanup(func() {
		_ = callers.Close()
		if err := <-served; err != nil {
			f.t.Error(err)
		}
	})
}

// publish merges the next entry of a node into the table.
func (f *testFleet) publish(n *testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.sequence++
	f.table.Merge(fleet.Entry{
		Node: n.name, InboundAddress: n.inboundAddress, Domain: "d", Service: n.service,
		Server: "server-" + n.name, State: n.state, Slots: n.slotCount, Incarnation: 1, Sequence: n.sequence,
		Crashes: n.crashes.String(),
	})
}

// reply is the response to a caller; err is set when there is none or its body was
// truncated.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to the outbound proxy of the first node.
func (f *testFleet) send(ctx context.Context, method, path, id, body string) reply {
	request, err := http.NewRequestWithContext(ctx, method, f.nodes[0].outboundURL+path, strings.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return reply{err: err}
	}
	request.Host = testHost
	request.Header.Set(testHeaders.RequestID, id)
	request.Header.Set(testHeaders.DeadlineMs, "1500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

func (f *testFleet) get(id string) reply {
	return f.send(context.Background(), http.MethodGet, "/get/x", id, "")
}

func (f *testFleet) post(id, body string) reply {
	return f.send(context.Background(), http.MethodPost, "/post/x", id, body)
}

func expectResponse(g *gomega.WithT, got reply, id, body string) {
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusOK), got.body)
	g.Expect(got.body).To(gomega.Equal("response to " + id + ": " + body))
	g.Expect(got.header.Get(testHeaders.Signature)).To(gomega.Equal("signed"))
}
