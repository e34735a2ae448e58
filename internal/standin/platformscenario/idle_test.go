package platformscenario

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// countersInterval is above the interval at which a sidecar exposes its counters.
const countersInterval = 1500 * time.Millisecond

// TestIdleLimitsLoseNoReadRequest guards against a request that a node reads and does
// not answer while the operators change the idle limit and callers send on kept
// connections after pauses around it.
func TestIdleLimitsLoseNoReadRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		hosts, callersPerHost = 3, 8
		changes               = 10
		betweenChanges        = 400 * time.Millisecond
		maxPause              = 400 * time.Millisecond
	)
	d, err := Start(program, t.TempDir(), hosts)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.Close)
	d.IdleTimeout = 200 * time.Millisecond
	d.Configure(1, 0)
	g.Eventually(func() bool { return d.Ready(0) && d.Ready(1) && d.Ready(2) }).WithTimeout(15 * time.Second).Should(gomega.BeTrue())
	callers := &pausingCallers{deployment: d, maxPause: maxPause}
	var group sync.WaitGroup
	for i := range hosts * callersPerHost {
		group.Go(func() { callers.run(uint64(i), d.OutboundAddress(i%hosts)) })
	}
	limits := []time.Duration{300 * time.Millisecond, 100 * time.Millisecond, time.Second, 150 * time.Millisecond}
	for change := range changes {
		time.Sleep(betweenChanges)
		d.IdleTimeout = limits[change%len(limits)]
		d.Configure(2+change, 0)
	}
	callers.stopped.Store(true)
	group.Wait()
	sum := func(name string) int64 {
		total := int64(0)
		for host := range hosts {
			value, err := d.Counter(host, "rosemaryladder_ingress_"+name)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			total += value
		}
		return total
	}
	// Counters are exposed at intervals.
	g.Eventually(func() int64 { return sum("requests") }).WithTimeout(5 * time.Second).Should(gomega.BeNumerically(">=", callers.answered.Load()))
	time.Sleep(countersInterval)
	read, discarded, closed := sum("requests"), sum("discarded_bytes"), sum("idle_closed")
	t.Logf("%d requests answered, %d not; %d connections closed as idle", callers.answered.Load(), callers.unanswered.Load(), closed)
	g.Expect(read).To(gomega.Equal(callers.answered.Load()), "requests that were read, and those that were answered")
	g.Expect(discarded).To(gomega.BeZero(), "bytes that were read and discarded")
	g.Expect(callers.ran.Load()).To(gomega.BeZero(), "requests that ran and were not answered")
	g.Expect(closed).To(gomega.BeNumerically(">", 0), "no connection was closed as idle")
}

// pausingCallers send single requests on kept connections, with pauses between them.
type pausingCallers struct {
	deployment *Deployment
	maxPause   time.Duration
	count      atomic.Int64
	stopped    atomic.Bool
	// ran counts the unanswered requests that ran.
	answered, unanswered, ran atomic.Int64
}

func (c *pausingCallers) run(seed uint64, address string) {
	random := rand.New(rand.NewPCG(seed, 0))
	for !c.stopped.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for !c.stopped.Load() && c.send(conn, reader) {
			time.Sleep(time.Duration(random.Int64N(int64(c.maxPause))))
		}
		conn.Close()
	}
}

// send sends one order and reports whether the connection can be used again.
func (c *pausingCallers) send(conn net.Conn, reader *bufio.Reader) (open bool) {
	id := fmt.Sprintf("idle-%d", c.count.Add(1))
	if conn.SetDeadline(time.Now().Add(5*time.Second)) != nil {
		return false
	}
	_, err := fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", id)
	var response *http.Response
	if err == nil {
		response, err = receive(reader)
	}
	if err != nil {
		c.unanswered.Add(1)
		c.ran.Add(int64(c.deployment.Runs(id)))
		return false
	}
	c.answered.Add(1)
	return !response.Close
}
