package operator_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator")
}

// fakeEditor records the ids of the changes that it is asked to apply.
type fakeEditor struct {
	mu      sync.Mutex
	applied []string
	apply   func(ctx context.Context, change config.Change) (config.Outcome, error)
}

func (e *fakeEditor) Apply(ctx context.Context, change config.Change) (config.Outcome, error) {
	e.mu.Lock()
	e.applied = append(e.applied, change.ID)
	e.mu.Unlock()
	if e.apply != nil {
		return e.apply(ctx, change)
	}
	return config.Outcome{ChangeID: change.ID, Version: 7}, nil
}

func (e *fakeEditor) Preview(context.Context, config.Change) (*config.Snapshot, *config.Snapshot, error) {
	return config.EmptySnapshot(), config.EmptySnapshot(), nil
}

func (e *fakeEditor) Lookup(context.Context, string) (uint64, bool, error) { return 0, false, nil }

func (e *fakeEditor) changes() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.applied...)
}

type fakeFleet struct{}

func (fakeFleet) Status(context.Context) (operator.FleetStatus, error) {
	return operator.FleetStatus{Accepted: 1}, nil
}

func (fakeFleet) Burn(context.Context) (burn.Report, error) { return burn.Report{}, nil }

// fakeNode is the operator port of one node with fake dependencies.
type fakeNode struct {
	record  member.Record
	editor  *fakeEditor
	events  *event.Ring
	scope   tally.TestScope
	client  *operator.Client
	server  *httptest.Server
	report  operator.HostReport
	deps    operator.Dependencies
	handler http.Handler
	// intercept replaces the handler when it is set.
	intercept http.HandlerFunc
}

// fakeCluster is a set of nodes that are members of the same fleet.
type fakeCluster struct {
	nodes       []*fakeNode
	unreachable []string
	snapshot    *config.Snapshot
}

func newCluster() *fakeCluster { return &fakeCluster{snapshot: config.EmptySnapshot()} }

// add starts a node; the store is in the region "near".
func (c *fakeCluster) add(host, region string) *fakeNode {
	node := &fakeNode{editor: &fakeEditor{}, events: event.NewRing(host, 64, time.Now), scope: tally.NewTestScope("", nil)}
	node.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if node.intercept != nil {
			node.intercept(w, r)
			return
		}
		node.handler.ServeHTTP(w, r)
	}))
	DeferCleanup(node.server.Close)
	ip, port, _ := net.SplitHostPort(node.server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	node.record = member.Record{ID: host, IP: ip, OperatorPort: number, Region: region, FailureDomain: region + "-1", State: member.Alive}
	node.report = operator.HostReport{Host: host}
	node.deps = operator.Dependencies{
		Editor: node.editor, Fleet: fakeFleet{}, StoreRegion: "near",
		Snapshot: func() *config.Snapshot { return c.snapshot }, OnAccepted: func(*config.Snapshot) {},
		View: func() *member.View { return c.view(node) }, HostReport: func() operator.HostReport { return node.report },
		Events: node.events, Metrics: http.NotFoundHandler(), Scope: node.scope,
	}
	node.handler = operator.Handler(node.deps)
	node.client = operator.NewClient(node.server.Listener.Addr().String())
	c.nodes = append(c.nodes, node)
	return node
}

func (c *fakeCluster) view(node *fakeNode) *member.View {
	var records []member.Record
	for _, other := range c.nodes {
		records = append(records, other.record)
	}
	return member.NewView(node.record, records, c.unreachable)
}

// counter returns the value of an operator counter of the node, or -1 when it
// does not exist.
func (n *fakeNode) counter(name string) int64 {
	for _, counter := range n.scope.Snapshot().Counters() {
		if counter.Name() == "operator."+name {
			return counter.Value()
		}
	}
	return -1
}
