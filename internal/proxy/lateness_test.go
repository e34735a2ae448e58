package proxy

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLateRequestsAreTold guards against a request that a cut or full link held back
// and that is run after its front and its caller have given up.
func TestLateRequestsAreTold(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLateness()
	const origin = 40 * time.Hour
	at := func(sent, onTheWay time.Duration) time.Duration { return l.of("a", sent, origin+sent+onTheWay) }
	g.Expect(at(0, 5*time.Millisecond)).To(gomega.BeZero(), "nothing to compare with")
	g.Expect(at(time.Second, 2*time.Millisecond)).To(gomega.BeZero())
	g.Expect(at(2*time.Second, 900*time.Millisecond)).To(gomega.Equal(898 * time.Millisecond))
	g.Expect(l.of("b", 0, time.Minute)).To(gomega.BeZero(), "fronts have clocks of their own")
	for i := range 30 {
		at(time.Duration(i+3)*time.Second, 50*time.Millisecond)
	}
	g.Expect(at(40*time.Second, 60*time.Millisecond)).To(gomega.Equal(10*time.Millisecond), "a longer way is learned")
}

// TestHopRoundTrip guards against a gate that reads something else than the front
// wrote.
func TestHopRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := hop{service: "s", route: "r", remaining: time.Second, due: 300 * time.Millisecond, maxWait: 20 * time.Millisecond,
		priority: 2, idempotent: true, sent: 80 * 24 * time.Hour}
	read, err := parseHop(sent.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(read).To(gomega.Equal(sent))
	_, err = parseHop("s r 1 2 3 4 many -5")
	g.Expect(err).To(gomega.HaveOccurred())
}
