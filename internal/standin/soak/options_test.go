package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestHostsFitTheFileDescriptors guards against a run whose proxies use up the file
// descriptors of the process, as those of 98 hosts did in 3 of 3 runs.
func TestHostsFitTheFileDescriptors(t *testing.T) {
	g := gomega.NewWithT(t)
	options := Options{Program: "sidecar", Directory: "soak", Hosts: 98, Callers: 40, FaultPeriod: time.Second}
	g.Expect(options.Validate()).To(gomega.MatchError(gomega.ContainSubstring("Hosts 98")))
	options.Hosts = 80
	g.Expect(options.Validate()).To(gomega.Succeed())
}
