package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestCalmLeadersAreTrusted guards against followers that leave a leader because its
// watch waits longer than they trust a silent one.
func TestCalmLeadersAreTrusted(t *testing.T) {
	g := gomega.NewWithT(t)
	config := DefaultConfig()
	config.ConfigurationKey, config.EntriesPrefix = "c", "e/"
	g.Expect(config.Validate()).To(gomega.Succeed())
	config.KeepInterval = 1500 * time.Millisecond
	g.Expect(config.Validate()).NotTo(gomega.Succeed())
}
