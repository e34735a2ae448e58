package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestKeepIntervalMustBeBelowPeerAfter guards against followers that leave a healthy
// leader: a leader that is blocked in a watch gets responses from the store only to
// its renewals, and would seem disconnected between them.
func TestKeepIntervalMustBeBelowPeerAfter(t *testing.T) {
	g := gomega.NewWithT(t)
	config := DefaultConfig()
	config.ConfigurationKey, config.EntriesPrefix = "c", "e/"
	g.Expect(config.Validate()).To(gomega.Succeed())
	config.KeepInterval = 1500 * time.Millisecond
	g.Expect(config.Validate()).NotTo(gomega.Succeed())
}
