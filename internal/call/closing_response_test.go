package call

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func testClosingResponse(g *gomega.WithT) []byte {
	closing, err := refuse(result.Draining, "the node is leaving").encode()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return closing
}

// TestClosingResponseMeansNotRun guards against an order that fails as one of unknown
// outcome when it crosses the close of its connection to another node. That node says
// that it did not run, and the order runs on a third one.
func TestClosingResponseMeansNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &countingServer{runs: make(map[string]int)}
	f := newFleet(t, fleetOptions{nodes: 2, slots: 5, attempts: 3}, func(int) http.Handler { return server })
	closing := closeWithResponse(t, g, f.views[1].Load().Self.IP, testClosingResponse(g))
	view := f.views[0].Load()
	records := slices.Clone(view.Nodes())
	for i, record := range records {
		if record.ID == "h1" {
			records[i].CallPort = closing.port
		}
	}
	f.views[0].Store(member.NewView(view.Self, records, nil))
	orders := 0
	for ; closing.accepted() == 0; orders++ {
		g.Expect(orders).To(gomega.BeNumerically("<", 100), "no order was sent to the node that closes")
		g.Expect(f.order(t, strconv.Itoa(orders), "flag").run).To(gomega.Equal(result.Ran))
	}
	g.Expect(server.runCount("")).To(gomega.Equal(orders))
}

// TestClosingResponseIsOneResponse guards against a refusal that a peer reads as several
// or as a part of a response, or whose connection it keeps.
func TestClosingResponseIsOneResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := bufio.NewReader(bytes.NewReader(testClosingResponse(g)))
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Close).To(gomega.BeTrue())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(response.Header.Get(HeaderResult)).To(gomega.Equal("57"))
	g.Expect(response.Header.Get(HeaderRun)).To(gomega.BeEquivalentTo(result.NotRun))
	var body bytes.Buffer
	g.Expect(body.ReadFrom(response.Body)).To(gomega.BeNumerically(">", 0))
	g.Expect(reader.Buffered()).To(gomega.BeZero())
}
