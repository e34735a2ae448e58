package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

const (
	// awaitedHosts hosts that are probed one after the other exceed awaitLimit.
	awaitedHosts = 50
	awaitLimit   = time.Second
	probeTime    = 40 * time.Millisecond
)

// TestEachHostHasTheWholeRecoveryTime guards against a host that serves in time and is
// reported, because the probes of other hosts used up the time and its only probe failed.
func TestEachHostHasTheWholeRecoveryTime(t *testing.T) {
	g := gomega.NewWithT(t)
	failures := awaitHosts(awaitedHosts, time.Now().Add(awaitLimit), func(_, attempt int) error {
		time.Sleep(probeTime)
		if attempt == 0 {
			return errors.New("lost")
		}
		return nil
	})
	g.Expect(failures).To(gomega.BeEmpty())
}

// TestLateHostsAreReported guards against a host that serves only after the limit and
// passes, because it is probed after the others.
func TestLateHostsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	servesAt := time.Now().Add(awaitLimit + 5*probeTime)
	failures := awaitHosts(awaitedHosts, time.Now().Add(awaitLimit), func(host, _ int) error {
		time.Sleep(probeTime)
		if host == awaitedHosts-1 && time.Now().Before(servesAt) {
			return errors.New("unavailable")
		}
		return nil
	})
	g.Expect(failures).To(gomega.HaveLen(1))
	g.Expect(failures).To(gomega.HaveKey(awaitedHosts - 1))
}
