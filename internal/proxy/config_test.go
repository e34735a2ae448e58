package proxy

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestResponseGraceIsChecked guards against a grace of zero or less, with which each
// response at the deadline is taken for a lost one.
func TestResponseGraceIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	config := DefaultConfig()
	config.Node, config.Server = "a", "127.0.0.1:1"
	g.Expect(config.Validate()).To(gomega.Succeed())
	config.ResponseGrace = 0
	g.Expect(config.Validate()).To(gomega.MatchError(gomega.ContainSubstring("ResponseGrace")))
}
