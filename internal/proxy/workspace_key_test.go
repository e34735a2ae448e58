package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Keys of keyedRoutes; withdrawnKey is in version 1 only.
const (
	firstKey     = "first-secret-key"
	secondKey    = "second-secret-key"
	withdrawnKey = "withdrawn-secret-key"
)

// keyedTable returns a table with the keyed route /get/ and the public route /public/.
func keyedTable(t testing.TB, version routing.Version, limited routing.Workspace, keys ...string) *routing.Table {
	destinations := []routing.Destination{{Service: testService, Weight: 1}}
	route := routing.Route{
		Name: "get", Prefix: "/get/", Host: testHost, Timeout: defaultTimeout, Objective: 500 * time.Millisecond,
		MaxAttempts: 2, Idempotent: true, Priority: 2, Destinations: destinations,
	}
	public := route
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	limits := routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	services := []routing.Service{{Name: testService, HealthPath: "/healthz", MaxConnections: 100}}
	first := 0
	table, err := routing.NewKeyedTable(version, []routing.Route{route, public}, services, limits, []routing.KeyedWorkspace{
		{Workspace: routing.Workspace{Name: "first one", Priority: &first}, Keys: []string{firstKey}},
		{Workspace: limited, Keys: append([]string{secondKey}, keys...)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// keyedFleet is a fleet with workspaces, whose servers record the headers they get and
// whose nodes log into a buffer.
type keyedFleet struct {
	*testFleet
	mu      sync.Mutex
	headers []http.Header
	log     bytes.Buffer
}

// Write collects the log lines of all nodes.
func (f *keyedFleet) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(p)
}

func newKeyedFleet(t testing.TB, nodes int, limited routing.Workspace) *keyedFleet {
	routes := &routing.Holder{}
	routes.Publish(keyedTable(t, 1, limited, withdrawnKey))
	f := &keyedFleet{}
	logger := logrus.New()
	logger.SetOutput(f)
	logger.SetLevel(logrus.DebugLevel)
	f.testFleet = startTestFleet(&testFleet{t: t, routes: routes, log: logrus.NewEntry(logger)}, nodes, 4)
	for _, n := range f.nodes {
		n.backend.handle = func(_ http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.headers = append(f.headers, r.Header.Clone())
		}
	}
	return f
}

// keyed sends requests on one connection, at once when pipelined, and returns their
// statuses. A credential is the value of Authorization, several separated by a newline.
func (f *keyedFleet) keyed(g *gomega.WithT, pipelined bool, path string, credentials ...string) []int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var statuses []int
	read := func() {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = new(bytes.Buffer).ReadFrom(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		statuses = append(statuses, response.StatusCode)
	}
	for i, credential := range credentials {
		var fields strings.Builder
		for value := range strings.SplitSeq(credential, "\n") {
			if value != "" {
				fmt.Fprintf(&fields, "authorization: %s\r\n", value)
			}
		}
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: k-%d\r\n%s: forged\r\n%s\r\n", path, testHost, testHeaders.RequestID, i, testHeaders.Workspace, fields.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if !pipelined {
			read()
		}
	}
	for len(statuses) < len(credentials) {
		read()
	}
	return statuses
}

// workspaces returns the workspaces that the servers were told, sorted.
func (f *keyedFleet) workspaces() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, header := range f.headers {
		names = append(names, header[testHeaders.Workspace]...)
	}
	slices.Sort(names)
	return names
}

// TestEveryRequestIsAuthorized guards against a request that runs without a known key
// because an earlier one on its connection had one, and against a server that is told
// another workspace than that of the key.
func TestEveryRequestIsAuthorized(t *testing.T) {
	for name, pipelined := range map[string]bool{"kept connection": false, "pipeline": true} {
		for _, nodes := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, nodes), func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newKeyedFleet(t, nodes, routing.Workspace{Name: "second"})
				statuses := f.keyed(g, pipelined, "/get/x",
					"Bearer "+firstKey, "Bearer unknown", "bearer "+secondKey, "", firstKey, "Basic "+firstKey,
					"Bearer "+firstKey+"\nBearer "+secondKey, "Bearer "+withdrawnKey, "Bearer "+strings.Repeat("x", 2000))
				g.Expect(statuses).To(gomega.Equal([]int{200, 401, 200, 401, 401, 401, 401, 200, 401}))
				g.Expect(f.workspaces()).To(gomega.Equal([]string{"first one", "second", "second"}))
			})
		}
	}
}

// TestWithdrawnKeyIsRefused guards against a key that is still accepted on an open
// connection after a version without it is in force.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newKeyedFleet(t, 1, routing.Workspace{Name: "second"})
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+withdrawnKey)).To(gomega.Equal([]int{200}))
	f.routes.Publish(keyedTable(t, 2, routing.Workspace{Name: "second"}))
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+withdrawnKey, "Bearer "+secondKey)).To(gomega.Equal([]int{401, 200}))
}

// TestKeysGoNoFurther guards against a server that gets a key, and against a key in the
// log or in a response.
func TestKeysGoNoFurther(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newKeyedFleet(t, 2, routing.Workspace{Name: "second"})
	g.Expect(f.keyed(g, false, "/public/x", "Bearer "+firstKey, "")).To(gomega.Equal([]int{200, 200}))
	g.Expect(f.workspaces()).To(gomega.BeEmpty(), "the workspace that the caller stated")
	f.keyed(g, false, "/get/x", "Bearer "+firstKey, "Bearer unknown-secret-key", "Bearer "+secondKey, "Bearer "+secondKey)
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Expect(fmt.Sprint(f.headers)).NotTo(gomega.ContainSubstring("secret-key"))
	g.Expect(f.log.String()).To(gomega.ContainSubstring(`workspace="first one"`))
	g.Expect(f.log.String()).NotTo(gomega.ContainSubstring("secret-key"))
}

// TestWorkspacePriorityComesFirst guards against the priority of a route that overrides
// the one of the workspace, and against a deployment without workspaces whose requests
// rank differently.
func TestWorkspacePriorityComesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	priority := func(p int) *routing.Workspace { return &routing.Workspace{Priority: &p} }
	g.Expect(combinedPriority(priority(0), 9)).To(gomega.BeNumerically("<", combinedPriority(priority(1), 0)))
	g.Expect(combinedPriority(priority(1), 0)).To(gomega.BeNumerically("<", combinedPriority(priority(1), 2)))
	g.Expect(combinedPriority(nil, 1)).To(gomega.Equal(combinedPriority(priority(1), 1)))
	g.Expect(combinedPriority(priority(1<<62), 1<<62)).To(gomega.BeNumerically(">", 0))
}

// TestHopCarriesTheWorkspace guards against a workspace that is lost or altered between
// two nodes, and against a hop of an earlier version that is not understood.
func TestHopCarriesTheWorkspace(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := hop{service: "s", route: "r", remaining: time.Second, due: time.Second, maxWait: time.Second, clockID: "c"}
	for _, name := range []string{"", "plain", "two words", "50% + ü"} {
		sent.workspace = name
		received, err := parseHop(sent.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(received).To(gomega.Equal(sent))
	}
	_, err := parseHop(sent.String() + " x")
	g.Expect(err).To(gomega.HaveOccurred())
}
