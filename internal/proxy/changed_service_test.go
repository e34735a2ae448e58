package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// TestChangedServiceRunsNoWaitingRequest guards against a request of the service before
// that waited for a slot, or comes from a node that does not know of the change yet, and
// is run by the server of the service that got the host; and against requests of that
// host which name the service before.
func TestChangedServiceRunsNoWaitingRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 1)
	n := f.nodes[0]
	var callers []string
	n.backend.handle = func(_ http.ResponseWriter, r *http.Request) {
		callers = append(callers, r.Header.Get(testHeaders.CallerService))
	}
	release, err := n.slots.Acquire(context.Background(), slots.Request{Route: "get", Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	replies := make(chan reply, 1)
	go func() { replies <- f.get("waiting") }()
	g.Eventually(func() int { return n.slots.Load().Waiting }).Should(gomega.Equal(1))
	g.Expect(n.tracker.SetService("billing")).To(gomega.BeTrue())
	_, err = n.tracker.Announce(instance.Announcement{Server: "server-x", Service: "billing", Slots: 1, StartTime: 2})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	release(false)
	g.Expect((<-replies).status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.get("stale").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(n.backend.runCount("waiting") + n.backend.runCount("stale")).To(gomega.BeZero())

	// The server of another node sees the new service of the host where requests begin.
	other := newTestFleet(t, 1, 1).nodes[0]
	other.backend.handle = n.backend.handle
	f.table.Merge(fleet.Entry{
		Node: "other", InboundAddress: other.inboundAddress, Domain: "d", Service: testService,
		Server: "server-a", State: fleet.Ready, Slots: 1, Incarnation: 1,
	})
	g.Expect(f.get("after").status).To(gomega.Equal(http.StatusOK))
	g.Expect(callers).To(gomega.Equal([]string{"billing"}))
}
