package platformscenario

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// hostileConns is the number of connections with half a head, and hostileResident the
	// memory that a sidecar may hold beside them (docs/design.md, section 3).
	hostileConns    = 5000
	hostileResident = 64 << 20
	// othersLatency is the latency objective of the route that others use.
	othersLatency = 500 * time.Millisecond
	// spareDescriptors are those that the test and its deployment need themselves.
	spareDescriptors = 1000
)

// TestHalfHeadsLeaveMemory guards against callers that take the memory of a sidecar, or
// time from the requests of others, with connections on which they send half a head: a
// few bytes of it, or all but the last of those that the operators allow.
func TestHalfHeadsLeaveMemory(t *testing.T) {
	conns := hostileConns
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if room := int(limit.Cur) - spareDescriptors; room < conns {
		conns = room
		t.Logf("%d connections only: the limit of descriptors is %d", conns, limit.Cur)
	}
	for name, head := range map[string]string{
		"few bytes":  "GET /half",
		"large head": "GET /get/x HTTP/1.1\r\nHost: orders.example\r\nX-A: " + strings.Repeat("a", 16_000),
		"many lines": "GET /get/x HTTP/1.1\r\nHost: orders.example\r\n" + strings.Repeat("X-A: aaaaaaaa\r\n", 1060),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, err := Start(program, t.TempDir(), 1)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(d.Close)
			d.Configure(1, 0)
			g.Eventually(func() bool { return d.Ready(0) }).WithTimeout(15 * time.Second).Should(gomega.BeTrue())
			time.Sleep(time.Second)
			before, err := d.MaxResidentBytes(0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			baseline := timeRequests(g, d.OutboundAddress(0), "before")
			var hostile sync.WaitGroup
			opened, stop := make(chan struct{}, halfHeadSenders), make(chan struct{})
			hostile.Go(func() { sendHalfHeads(d.OutboundAddress(0), head, conns, opened, stop) })
			opening := timeRequests(g, d.OutboundAddress(0), "opening")
			for range halfHeadSenders {
				<-opened
			}
			beside := timeRequests(g, d.OutboundAddress(0), "beside")
			close(stop)
			hostile.Wait()
			resident, err := d.MaxResidentBytes(0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			p99 := percentile(beside, 99)
			t.Logf("%d connections: at most %.1f MB resident, %.1f before; others' requests, p50 and p99: %s and %s before, %s and %s while they are opened, %s and %s beside them",
				conns, float64(resident)/(1<<20), float64(before)/(1<<20), percentile(baseline, 50), percentile(baseline, 99), percentile(opening, 50), percentile(opening, 99), percentile(beside, 50), p99)
			g.Expect(resident).To(gomega.BeNumerically("<", hostileResident))
			g.Expect(p99).To(gomega.BeNumerically("<", othersLatency))
		})
	}
}

const (
	// halfHeadSenders open connections side by side.
	halfHeadSenders = 8
	// replaceInterval is the time after which a sender replaces a connection, so that all
	// are replaced within the time in which the server ends those with half a head.
	replaceInterval = 3 * time.Second * halfHeadSenders / hostileConns
)

// sendHalfHeads opens connections and sends a part of a head on each. Each sender tells
// when its part of them was opened and then replaces the oldest until stopped.
func sendHalfHeads(address, head string, conns int, opened chan<- struct{}, stop <-chan struct{}) {
	var group sync.WaitGroup
	for range halfHeadSenders {
		group.Go(func() {
			var open []net.Conn
			defer func() {
				for _, conn := range open {
					conn.Close()
				}
			}()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					continue
				}
				// An error means that the server has ended the connection.
				_, _ = io.WriteString(conn, head)
				if len(open) < conns/halfHeadSenders {
					if open = append(open, conn); len(open) == conns/halfHeadSenders {
						opened <- struct{}{}
					}
					continue
				}
				open[i%len(open)].Close()
				open[i%len(open)] = conn
				time.Sleep(replaceInterval)
			}
		})
	}
	group.Wait()
}

// timeRequests sends requests one after the other and returns the sorted times until
// their responses were complete.
func timeRequests(g *gomega.WithT, address, name string) (latencies []time.Duration) {
	for i := range 200 {
		latency, err := timeRequest(address, fmt.Sprintf("%s-%d", name, i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	return latencies
}

// percentile returns a percentile of sorted times, in whole milliseconds.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond)
}

// timeRequest sends a request on a new connection and returns the time until its response
// is complete.
func timeRequest(address, id string) (time.Duration, error) {
	startedAt := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(startedAt.Add(5 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(conn, "GET /get/x HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\n\r\n", id); err != nil {
		return 0, err
	}
	response, err := receive(bufio.NewReader(conn))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("request %s got status %d", id, response.StatusCode)
	}
	return time.Since(startedAt), err
}
