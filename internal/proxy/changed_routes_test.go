package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// changedTable returns a version in which routes are missing, repeatable or not, and have
// a long or a short time.
func changedTable(version routing.Version) *routing.Table {
	services := []routing.Service{{Name: testService, HealthPath: "/healthz", MaxConnections: 100}}
	limits := routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	var routes []routing.Route
	for _, name := range []string{"get", "post"} {
		route := routing.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Timeout: defaultTimeout, Objective: 500 * time.Millisecond, MaxAttempts: 2,
			Destinations: []routing.Destination{{Service: testService, Weight: 1}},
			Idempotent:   name == "get" && rand.IntN(2) == 0,
		}
		if rand.IntN(3) == 0 {
			route.Timeout = 4 * time.Millisecond
		}
		if rand.IntN(4) > 0 {
			routes = append(routes, route)
		}
	}
	table, err := routing.NewTable(version, routes, services, limits)
	if err != nil {
		panic(err)
	}
	return table
}

// TestChangedRoutesLeaveNoRequestWithoutAResponse guards against a request that gets no
// response, or is refused and runs, because its route is changed or removed while it is
// on its way, waits behind another one of its connection, or runs.
func TestChangedRoutesLeaveNoRequestWithoutAResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers, rounds = 24, 20
	routes := testRoutes(defaultTimeout)
	f := startTestFleet(&testFleet{t: t, routes: routes}, 3, 8)
	for _, n := range f.nodes {
		n.backend.handle = func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(time.Duration(rand.IntN(6)) * time.Millisecond)
			_, _ = io.WriteString(w, "x")
		}
	}
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := routing.Version(2); ; version++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.IntN(3)) * time.Millisecond):
				routes.Publish(changedTable(version))
			}
		}
	})
	var counts sync.Map
	var lost, misplaced, refusedAndRun, repeated atomic.Int64
	runs := func(id string) (total int) {
		for _, n := range f.nodes {
			total += n.backend.runCount(id)
		}
		return total
	}
	refused := make(map[string]bool)
	var mu sync.Mutex
	var senders sync.WaitGroup
	for caller := range callers {
		senders.Go(func() {
			for round := range rounds {
				conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
				reader := bufio.NewReader(conn)
				var text strings.Builder
				count := 1 + rand.IntN(5)
				id := func(i int) string { return fmt.Sprintf("%d-%d-%d", caller, round, i) }
				for i := range count {
					if rand.IntN(2) == 0 {
						fmt.Fprintf(&text, "GET /get/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", testHost, testHeaders.RequestID, id(i))
					} else {
						fmt.Fprintf(&text, "POST /post/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 5\r\n\r\norder", testHost, testHeaders.RequestID, id(i))
					}
				}
				cut := rand.IntN(text.Len())
				_, _ = io.WriteString(conn, text.String()[:cut])
				time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
				_, _ = io.WriteString(conn, text.String()[cut:])
				for i := range count {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						lost.Add(int64(count - i))
						break
					}
					_, _ = io.Copy(io.Discard, response.Body)
					counter, _ := counts.LoadOrStore(response.StatusCode, new(atomic.Int64))
					counter.(*atomic.Int64).Add(1)
					if got := response.Header.Get(testHeaders.RequestID); got != id(i) {
						misplaced.Add(1)
					}
					if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusRequestTimeout {
						mu.Lock()
						refused[id(i)] = true
						mu.Unlock()
					}
					if response.Close {
						break
					}
				}
				conn.Close()
				for i := range count {
					if strings.Contains(text.String(), "POST /post/x HTTP/1.1\r\nHost: "+testHost+"\r\n"+testHeaders.RequestID+": "+id(i)+"\r\n") && runs(id(i)) > 1 {
						repeated.Add(1)
					}
				}
			}
		})
	}
	senders.Wait()
	close(stop)
	changes.Wait()
	for id := range refused {
		if runs(id) > 0 {
			refusedAndRun.Add(1)
		}
	}
	counts.Range(func(status, counter any) bool {
		t.Logf("%d responses with status %d", counter.(*atomic.Int64).Load(), status)
		return true
	})
	g.Expect(lost.Load()).To(gomega.BeZero(), "requests without a response")
	g.Expect(misplaced.Load()).To(gomega.BeZero(), "responses to other requests")
	g.Expect(refusedAndRun.Load()).To(gomega.BeZero(), "refused requests that ran")
	g.Expect(repeated.Load()).To(gomega.BeZero(), "requests that ran twice")
}
