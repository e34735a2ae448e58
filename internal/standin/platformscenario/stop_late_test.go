package platformscenario

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startForStop starts three hosts with a long timeout of the routes.
func startForStop(t *testing.T) *Deployment {
	d := startReady(t, 3)
	d.Timeout = 10 * time.Second
	d.Configure(2, 0)
	time.Sleep(time.Second)
	return d
}

// order is a request that may not be repeated, on a connection of its own.
type order struct {
	id   string
	conn net.Conn
}

// openOrder sends the head of an order and its body but for the last byte.
func openOrder(address, id string, work time.Duration) (*order, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "POST /post/x?work=%s HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 10000\r\nContent-Length: 2\r\n\r\nx", work, id)
	return &order{id, conn}, err
}

// finish sends the last byte and returns the status of the response; 0 when there is none.
func (o *order) finish() (status int) {
	defer o.conn.Close()
	_ = o.conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := o.conn.Write([]byte("x")); err != nil {
		return 0
	}
	response, err := receive(bufio.NewReader(o.conn))
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// expectAnswered fails when an order has no response, or one that says that it did not run
// although it did.
func expectAnswered(g *gomega.WithT, d *Deployment, id string, status int) {
	g.Expect(status).NotTo(gomega.BeZero(), "%s has no response and ran %d times", id, d.Runs(id))
	if status == http.StatusServiceUnavailable {
		g.Expect(d.Runs(id)).To(gomega.BeZero(), id)
	}
}

// TestOrdersLateInAStopAreAnswered guards against an order that a stopping node takes
// although its server can't finish it within the grace, and that the exit of the node then
// cuts without a response.
func TestOrdersLateInAStopAreAnswered(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	d := startForStop(t)
	g.Expect(d.Signal(1, syscall.SIGTERM)).To(gomega.Succeed())
	stopped := time.Now()
	var group sync.WaitGroup
	var statuses sync.Map
	for i := 0; time.Since(stopped) < exitTimeout-500*time.Millisecond; i++ {
		id := fmt.Sprintf("late-%d", i)
		work := time.Duration(i%8) * 700 * time.Millisecond
		o, err := openOrder(d.OutboundAddress(1), id, work)
		if err != nil {
			// The node listens no more.
			break
		}
		group.Go(func() {
			status := o.finish()
			statuses.Store(id, status)
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	count := 0
	statuses.Range(func(id, status any) bool {
		expectAnswered(g, d, id.(string), status.(int))
		count++
		return true
	})
	g.Expect(count).To(gomega.BeNumerically(">", 30))
	g.Expect(d.WaitExit(1, exitTimeout-time.Since(stopped))).To(gomega.Succeed())
}

// TestBodyCompletedLateInAStopIsRefused guards against an order whose body is complete
// after the node refuses new ones, and that is passed on although nothing can wait for it.
func TestBodyCompletedLateInAStopIsRefused(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	d := startForStop(t)
	o, err := openOrder(d.OutboundAddress(1), "slow-body", 1500*time.Millisecond)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.Signal(1, syscall.SIGTERM)).To(gomega.Succeed())
	time.Sleep(4500 * time.Millisecond)
	status := o.finish()
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(d.Runs("slow-body")).To(gomega.BeZero())
}

// TestShortGraceCutsNoOrder guards against a stop whose steps take longer than the grace,
// so that orders are taken until the node exits.
func TestShortGraceCutsNoOrder(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	g := gomega.NewWithT(t)
	d := startForStop(t)
	g.Expect(d.SetGrace(1, grace)).To(gomega.Succeed())
	time.Sleep(200 * time.Millisecond)
	g.Expect(d.Signal(1, syscall.SIGTERM)).To(gomega.Succeed())
	stopped := time.Now()
	var group sync.WaitGroup
	var answered atomic.Int64
	for i := 0; ; i++ {
		id := fmt.Sprintf("short-%d", i)
		o, err := openOrder(d.OutboundAddress(1), id, 300*time.Millisecond)
		if err != nil {
			// The node listens no more.
			break
		}
		group.Go(func() {
			status := o.finish()
			if status != 0 || d.Runs(id) > 0 {
				expectAnswered(g, d, id, status)
				answered.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(d.WaitExit(1, max(0, grace-time.Since(stopped)))).To(gomega.Succeed())
	group.Wait()
	g.Expect(answered.Load()).To(gomega.BeNumerically(">", 20))
}
