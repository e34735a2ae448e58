package call

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

const (
	testService  = "orderdesk"
	testDeadline = 2 * time.Second
)

// fleetOptions configures a fleet.
type fleetOptions struct {
	nodes    int
	slots    int
	attempts int
	deadline time.Duration
	logger   *logrus.Entry
}

// fleet is a group of nodes in this process. Node 0 is the outbound proxy of
// every test and has no backend server; each other node has one.
type fleet struct {
	nodes      []*Node
	trackers   []*drain.Tracker
	servers    []*http.Server
	addresses  []string
	views      []*atomic.Pointer[member.View]
	claims     *fakeClaims
	quarantine *fakeQuarantine
	events     *event.Ring
	snapshot   *config.Snapshot
}

// newFleet starts node 0 and options.nodes further nodes with a backend server
// each.
func newFleet(t testing.TB, options fleetOptions, server func(node int) http.Handler) *fleet {
	t.Helper()
	f := &fleet{claims: newFakeClaims(), quarantine: &fakeQuarantine{crashed: make(map[uint64]int)}}
	f.events = event.NewRing("test", event.DefaultRingSize, time.Now)
	f.snapshot = testSnapshot(t, options.deadline)
	var records []member.Record
	for i := range options.nodes + 1 {
		records = append(records, f.addNode(t, i, options))
		f.views = append(f.views, new(atomic.Pointer[member.View]))
		f.views[i].Store(member.NewView(records[i], records, nil))
		node, err := New(DefaultConfig(), f.deps(i, options))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		f.nodes = append(f.nodes, node)
		records[i].CallPort = f.serve(t, node, records[i].IP)
		if i > 0 {
			f.addServer(t, i, options, server(i))
		}
	}
	for i, view := range f.views {
		view.Store(member.NewView(records[i], records, nil))
	}
	return f
}

func (f *fleet) addNode(t testing.TB, i int, options fleetOptions) member.Record {
	t.Helper()
	record := member.Record{ID: fmt.Sprintf("h%d", i), IP: fmt.Sprintf("127.0.1.%d", i+1), Incarnation: 1, State: member.Alive}
	if i > 0 {
		record.Server = member.Server{Service: testService, State: member.ServerReady, Slots: options.slots, Connections: 600}
	}
	tracker, err := drain.NewTracker(drain.DefaultConfig(record.ID, "d"), fixedSnapshot{f.snapshot}, f.events, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	f.trackers = append(f.trackers, tracker)
	return record
}

func (f *fleet) deps(i int, options fleetOptions) Deps {
	logger := options.logger
	if logger == nil {
		logger = telemetry.DiscardLogger()
	}
	id, ip := fmt.Sprintf("h%d", i), fmt.Sprintf("127.0.1.%d", i+1)
	return Deps{
		Snapshots: fixedSnapshot{f.snapshot},
		View:      f.views[i].Load,
		Chooser:   fakeChooser{}, Policy: fakePolicy{options.attempts},
		Admission: fakeAdmitter{make(chan struct{}, options.slots)}, Claimer: f.claims, Retained: nodeResponses{f.claims, id},
		Quarantine: f.quarantine, Server: f.trackers[i], Burn: fakeBurn{}, Events: f.events,
		Scope: tally.NoopScope, Logger: logger, Dialer: dial.Dialer{LocalIP: ip}, Now: time.Now,
	}
}

// serve starts the call port of a node and returns its number.
func (f *fleet) serve(t testing.TB, node *Node, ip string) int {
	t.Helper()
	server, err := NewServer(DefaultConfig(), ip, 0, node)
	if err != nil {
		t.Fatal(err)
	}
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// net/http logs a refusal that arrives on an idle connection.
		testClient.CloseIdleConnections()
		_ = server.http.Close()
	})
	f.addresses = append(f.addresses, address.String())
	return address.(*net.TCPAddr).Port
}

// addServer starts a backend server and announces it to its node.
func (f *fleet) addServer(t testing.TB, i int, options fleetOptions, handler http.Handler) {
	t.Helper()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", i+1))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	f.servers = append(f.servers, server)
	err = f.trackers[i].Announce(drain.Announcement{Service: testService, Address: listener.Addr().String(), State: "ready", Slots: options.slots, Connections: 600})
	if err != nil {
		t.Fatal(err)
	}
}

func testSnapshot(t testing.TB, deadline time.Duration) *config.Snapshot {
	t.Helper()
	if deadline == 0 {
		deadline = testDeadline
	}
	target := func(name, method, path string, idempotent bool, priority config.Priority) config.Target {
		return config.Target{
			Name: name, Service: testService, Methods: []string{method}, Path: path, Idempotent: idempotent,
			Deadline: deadline, Latency: deadline / 2, LatencyPercent: 99, SuccessPercent: 99.9, Priority: priority, ChangedAt: 1,
		}
	}
	snapshot, err := config.NewSnapshot(config.Document{Version: 1, Targets: []config.Target{
		target("downloads", http.MethodGet, "/files", true, config.PriorityDownload),
		target("heads", http.MethodHead, "/patterns", true, config.PriorityLookup),
		target("lookups", http.MethodGet, "/patterns", true, config.PriorityLookup),
		target("orders", http.MethodPost, "/orders", false, config.PriorityOrder),
		target("uploads", http.MethodPut, "/files", true, config.PriorityLookup),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}
