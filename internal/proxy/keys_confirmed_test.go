package proxy

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestUnconfirmedKeysAreRefused guards against a key that is accepted although it may have
// been withdrawn, against one that is refused with a status that makes the caller give up,
// and against public requests that are refused with it.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	var confirmed atomic.Bool
	f := newKeyedFleet(t, 1, routing.Workspace{Name: "second"})
	f.nodes[0].proxy.outbound.deps.KeysConfirmed = func(version routing.Version) bool { return version == 1 && confirmed.Load() }
	confirmed.Store(true)
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+firstKey)).To(gomega.Equal([]int{200}))
	confirmed.Store(false)
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+firstKey, "Bearer unknown")).To(gomega.Equal([]int{503, 401}))
	g.Expect(f.keyed(g, false, "/public/x", "")).To(gomega.Equal([]int{200}))
	g.Expect(f.log.String()).To(gomega.ContainSubstring("code=" + strconv.Itoa(int(result.KeysOutdated))))
	confirmed.Store(true)
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+firstKey)).To(gomega.Equal([]int{200}))
	g.Expect(len(f.headers)).To(gomega.Equal(3))
}
