package platformscenario

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/standin/app"
)

const (
	// endlessCallers is the number of callers whose requests get bytes without end, and
	// endlessTime how long they go on.
	endlessCallers = 64
	endlessTime    = 6 * time.Second
	// otherCallers is the number of callers whose requests are served beside them.
	otherCallers = 8
)

// TestEndlessResponsesEndNoProcess guards against a server in trouble whose bytes without
// end fill the memory of a sidecar, which ends with the requests of other callers. Callers
// of such requests read everything, read nothing or leave.
func TestEndlessResponsesEndNoProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	d := startReady(t, 3)
	var endless, others sync.WaitGroup
	stop := make(chan struct{})
	time.AfterFunc(endlessTime, func() { close(stop) })
	var sent atomic.Int64
	for i := range endlessCallers {
		endless.Go(func() { sendForEndless(d.OutboundAddress(0), rand.New(rand.NewPCG(1, uint64(i))), &sent, stop) })
	}
	var answered, unanswered atomic.Int64
	for i := range otherCallers {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if err := sendOnce(d.OutboundAddress(i%2), fmt.Sprintf("other-%d-%d", i, n)); err != nil {
					t.Errorf("request %d of caller %d: %v", n, i, err)
					unanswered.Add(1)
					return
				}
				answered.Add(1)
			}
		})
	}
	others.Wait()
	endless.Wait()
	for number := range d.Hosts() {
		select {
		case <-d.hosts[number].exited:
			t.Fatalf("the sidecar of host %d has ended", number)
		default:
		}
		resident, err := d.MaxResidentBytes(number)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Logf("host %d: at most %.1f MB resident", number, float64(resident)/(1<<20))
		g.Expect(resident).To(gomega.BeNumerically("<", hostileResident))
	}
	t.Logf("%d requests got bytes without end; %d others were answered", sent.Load(), answered.Load())
	g.Expect(sent.Load()).To(gomega.BeNumerically(">", endlessCallers))
	g.Expect(answered.Load()).To(gomega.BeNumerically(">", 100))
}

// sendForEndless sends requests that get bytes without end, each on a new connection.
func sendForEndless(address string, random *rand.Rand, sent *atomic.Int64, stop <-chan struct{}) {
	forms := app.EndlessForms()
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		method, path := "GET", "get"
		if random.IntN(2) == 0 {
			method, path = "POST", "post"
		}
		_, err = fmt.Fprintf(conn, "%s /%s/x?endless=%s HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: endless-%d\r\nX-Rosemaryladder-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n",
			method, path, forms[random.IntN(len(forms))], sent.Add(1))
		if err == nil {
			switch patience := time.Duration(random.IntN(2500)) * time.Millisecond; random.IntN(3) {
			case 0:
				_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
				// The connection ends with an error or the close of the node.
				_, _ = io.Copy(io.Discard, conn)
			default:
				time.Sleep(patience)
			}
		}
		conn.Close()
	}
}

// sendOnce sends a request on a new connection and reads its response.
func sendOnce(address, id string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", id); err != nil {
		return err
	}
	response, err := receive(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if got := response.Header.Get("X-Rosemaryladder-Request-Id"); got != id {
		return fmt.Errorf("response to request %q", got)
	}
	return nil
}
