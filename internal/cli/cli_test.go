package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/cli"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "CLI")
}

// run runs the tool and returns its exit status and its output.
func run(arguments ...string) (status int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	streams := cli.Streams{In: strings.NewReader(targetsFile), Out: &stdout, Err: &stderr}
	status = cli.Run(context.Background(), arguments, streams)
	return status, stdout.String(), stderr.String()
}

// fakeNode is an operator port with fixed responses by path.
type fakeNode struct {
	server   *httptest.Server
	mu       sync.Mutex
	requests []operator.ChangeRequest
	// dropResponse makes the port read a change and close the connection without a
	// response.
	dropResponse bool
	document     operator.Document
	status       operator.FleetStatus
	host         operator.HostReport
	// events holds the events of other nodes by subject.
	events  map[string][]event.Event
	problem *operator.Problem
}

func newFakeNode() *fakeNode {
	node := &fakeNode{document: operator.Document{Version: 7}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/changes", node.change)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { respond(w, node.status) })
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) { respond(w, []operator.Member{}) })
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadGateway)
		respond(w, operator.Problem{Code: result.NodeUnreachable, Message: "region \"north\" has no reader at present"})
	})
	mux.HandleFunc("GET /v1/hosts/{name}", func(w http.ResponseWriter, _ *http.Request) { respond(w, node.host) })
	mux.HandleFunc("GET /v1/events", func(w http.ResponseWriter, r *http.Request) {
		events := node.events[r.URL.Query().Get("subject")]
		respond(w, operator.EventResponse{Events: append([]event.Event{}, events...)})
	})
	mux.HandleFunc("GET /v1/document", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, node.document)
	})
	node.server = httptest.NewServer(mux)
	DeferCleanup(node.server.Close)
	return node
}

func (n *fakeNode) address() string { return n.server.Listener.Addr().String() }

func (n *fakeNode) change(w http.ResponseWriter, r *http.Request) {
	var request operator.ChangeRequest
	Expect(json.NewDecoder(r.Body).Decode(&request)).To(Succeed())
	n.mu.Lock()
	n.requests = append(n.requests, request)
	n.mu.Unlock()
	if n.dropResponse {
		panic(http.ErrAbortHandler)
	}
	if n.problem != nil {
		w.WriteHeader(http.StatusConflict)
		respond(w, n.problem)
		return
	}
	respond(w, operator.ChangeResponse{ChangeID: request.Change.ID, Version: 8, DryRun: request.DryRun})
}

// changes returns the change requests that the port received.
func (n *fakeNode) changes() []operator.ChangeRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests
}

func respond(w http.ResponseWriter, value any) {
	Expect(json.NewEncoder(w).Encode(value)).To(Succeed())
}

// closedAddress returns an address at which nothing listens.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

const targetsFile = `
[target lookups]
service = pattern-reg
methods = GET
path = /patterns
idempotent = true
deadline = 400ms
latency = 80ms
latency_percent = 99
success_percent = 99.9
priority = lookup
`

var _ = Describe("the command line", func() {
	// Guards against a verb whose use the tool's own help does not show.
	DescribeTable("explains each verb with an example",
		func(verb string) {
			status, out, _ := run(append(strings.Fields(verb), "--help")...)
			Expect(status).To(Equal(int(result.OK)))
			Expect(out).To(ContainSubstring("rosemaryladder " + verb))
			Expect(out).To(ContainSubstring("Example"))
		},
		Entry(nil, "target apply"), Entry(nil, "target list"), Entry(nil, "target show"), Entry(nil, "target delete"),
		Entry(nil, "stop plan"), Entry(nil, "stop list"), Entry(nil, "stop cancel"), Entry(nil, "status"),
		Entry(nil, "explain host"), Entry(nil, "explain target"), Entry(nil, "explain call"), Entry(nil, "explain change"),
		Entry(nil, "explain repairs"), Entry(nil, "report burn"),
	)

	// Guards against a usage error that is reported with another code or not at all.
	DescribeTable("rejects invalid arguments with the code of a usage error",
		func(expected string, arguments ...string) {
			status, _, errOut := run(arguments...)
			Expect(status).To(Equal(int(result.Usage)))
			Expect(errOut).To(ContainSubstring(expected))
		},
		Entry("no verb", "target", "--node", "127.0.0.1:1"),
		Entry("no node", "--node", "status"),
		Entry("a node without a port", "127.0.0.1", "status", "--node", "127.0.0.1"),
		Entry("an unknown output", "--output", "status", "--node", "127.0.0.1:1", "--output", "xml"),
		Entry("an unknown flag", "--nod", "status", "--nod", "127.0.0.1:1"),
		Entry("an invalid start time", "--at", "stop", "plan", "--host", "h", "--at", "soon", "--node", "127.0.0.1:1"),
	)
})

var _ = Describe("target apply", func() {
	// Guards against a tool that fails although another of the given nodes responds.
	It("queries the next node when the first one is down", func() {
		node := newFakeNode()
		status, out, errOut := run("target", "apply", "-f", "-", "--node", closedAddress(), "--node", node.address())
		Expect(status).To(Equal(int(result.OK)), errOut)
		Expect(out).To(ContainSubstring("accepted as version 8"))
		Expect(node.changes()).To(HaveLen(1))
		Expect(node.changes()[0].Change.Targets).To(HaveLen(1))
	})

	// Guards against a change that is reported as refused although a node received
	// it, and against a repeat with another id, which could apply the change twice.
	It("reports an unknown outcome when the response is lost", func() {
		node := newFakeNode()
		node.dropResponse = true
		status, _, errOut := run("target", "apply", "-f", "-", "--node", node.address())
		Expect(status).To(Equal(int(result.ChangeOutcomeUnknown)))
		Expect(errOut).To(ContainSubstring(node.changes()[0].Change.ID))
		Expect(errOut).To(ContainSubstring("--change-id"))
	})

	It("reports that nothing was accepted when no node was reached", func() {
		status, _, errOut := run("target", "apply", "-f", "-", "--node", closedAddress())
		Expect(status).To(Equal(int(result.NodeUnreachable)))
		Expect(errOut).To(ContainSubstring("nothing was accepted"))
	})

	// Guards against an exit status that hides the reason from a script.
	It("exits with the code of the node's refusal", func() {
		node := newFakeNode()
		node.problem = &operator.Problem{Code: result.VersionConflict, Message: "the configuration is at version 9"}
		status, _, errOut := run("target", "apply", "-f", "-", "--if-version", "7", "--node", node.address())
		Expect(status).To(Equal(int(result.VersionConflict)))
		Expect(errOut).To(ContainSubstring("version 9"))
		Expect(*node.changes()[0].Change.IfVersion).To(BeEquivalentTo(7))
	})

	// Guards against a dry run that changes something.
	It("marks a dry run", func() {
		node := newFakeNode()
		status, out, _ := run("target", "apply", "-f", "-", "--dry-run", "--node", node.address())
		Expect(status).To(Equal(int(result.OK)))
		Expect(node.changes()[0].DryRun).To(BeTrue())
		Expect(out).To(ContainSubstring("nothing was changed"))
	})

	It("sends nothing when the file has an unknown key", func() {
		node := newFakeNode()
		path := filepath.Join(GinkgoT().TempDir(), "targets.ini")
		Expect(os.WriteFile(path, []byte(strings.Replace(targetsFile, "deadline", "deadlin", 1)), 0o600)).To(Succeed())
		status, _, errOut := run("target", "apply", "-f", path, "--node", node.address())
		Expect(status).To(Equal(int(result.TargetUnknownKey)))
		Expect(errOut).To(ContainSubstring("deadlin"))
		Expect(node.changes()).To(BeEmpty())
	})
})

var _ = Describe("explain host", func() {
	// Guards against a host that lacks a version without a stated reason, because
	// only another host encountered the invalid version.
	It("shows why another host rejected the version that the host lacks", func() {
		node := newFakeNode()
		node.status = operator.FleetStatus{Accepted: 8}
		node.host = operator.HostReport{Host: "orderdesk-1", Version: 7}
		node.events = map[string][]event.Event{"8": {
			{Node: "orderdesk-2", Kind: event.KindConfig, Subject: "8", Message: "rejected version 8 from the store: unknown field", Code: result.DocumentInvalid},
			{Node: "orderdesk-3", Kind: event.KindConfig, Subject: "8", Message: "version 8 in force"},
		}}
		status, out, _ := run("explain", "host", "orderdesk-1", "--node", node.address())
		Expect(status).To(Equal(int(result.OK)))
		Expect(out).To(ContainSubstring("rejected version 8 from the store: unknown field"))
		Expect(out).NotTo(ContainSubstring("version 8 in force"))
		node.host.Version = 8
		_, out, _ = run("explain", "host", "orderdesk-1", "--node", node.address())
		Expect(out).NotTo(ContainSubstring("rejected version 8"))
	})
})

var _ = Describe("explain target", func() {
	// Guards against an explanation that fails completely while a region has no
	// reader, which is when operators need it most.
	It("succeeds without the burn report", func() {
		node := newFakeNode()
		node.document.Targets = []config.Target{{Name: "lookups", Service: "pattern-reg"}}
		status, out, errOut := run("explain", "target", "lookups", "--node", node.address())
		Expect(status).To(Equal(int(result.OK)), errOut)
		Expect(out).To(ContainSubstring("the burn report is missing: "))
		Expect(out).To(ContainSubstring("no reader at present"))
		Expect(out).To(ContainSubstring("0 of 0 backend servers are ready"))
	})
})

var _ = Describe("--wait", func() {
	// Guards against a script that continues although a node lags.
	It("exits with the code NotInForce and names the node that lags", func() {
		node := newFakeNode()
		node.status = operator.FleetStatus{
			Accepted: 8, Nodes: 2, InForce: 1,
			Laggards: []operator.Laggard{{Host: "orderdesk-1", Version: 7, Reason: "does not answer"}},
		}
		status, _, errOut := run("target", "delete", "lookups", "--wait", "100ms", "--node", node.address())
		Expect(status).To(Equal(int(result.NotInForce)))
		Expect(errOut).To(ContainSubstring("orderdesk-1"))
	})

	// Guards against the version that is waited for beside the count of nodes that have
	// another one in force.
	It("names the version that the counted nodes have in force", func() {
		node := newFakeNode()
		node.status = operator.FleetStatus{Accepted: 7, Nodes: 2, InForce: 2}
		status, _, errOut := run("target", "delete", "lookups", "--wait", "100ms", "--node", node.address())
		Expect(status).To(Equal(int(result.NotInForce)))
		Expect(errOut).To(ContainSubstring("2 of 2 nodes have version 7 in force"))
		Expect(errOut).To(ContainSubstring("version 8 is not known to the fleet yet"))
	})

	It("succeeds when every node has the version in force", func() {
		node := newFakeNode()
		node.status = operator.FleetStatus{Accepted: 8, Nodes: 2, InForce: 2}
		status, out, _ := run("status", "--wait", "1s", "--output", "json", "--node", node.address())
		Expect(status).To(Equal(int(result.OK)))
		Expect(json.Valid([]byte(out))).To(BeTrue(), out)
	})
})
