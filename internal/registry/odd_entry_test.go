package registry

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestOddEntriesAreRejected guards against an entry of another writer, deeply nested, with
// a number too large, with a port out of range or under the key of another node, that ends
// the readers of the list, or stops them from following it.
func TestOddEntriesAreRejected(t *testing.T) {
	const common = `"d":"d","s":"s","i":"i","t":"ready"`
	for name, odd := range map[string]struct{ key, value string }{
		"nested":              {"nodes/x", strings.Repeat("[", 100_000)},
		"nested in a field":   {"nodes/x", `{"n":"x","g":` + strings.Repeat(`{"a":`, 100_000)},
		"port":                {"nodes/x", `{"n":"x","g":"127.0.0.1:99999",` + common + `,"c":1,"e":1,"q":1}`},
		"no port":             {"nodes/x", `{"n":"x","g":"127.0.0.1:0",` + common + `,"c":1,"e":1,"q":1}`},
		"slots":               {"nodes/x", `{"n":"x","g":"127.0.0.1:9",` + common + `,"c":9223372036854775807,"e":1,"q":1}`},
		"number":              {"nodes/x", `{"n":"x","g":"127.0.0.1:9",` + common + `,"c":1e99,"e":1,"q":1}`},
		"incarnation":         {"nodes/x", `{"n":"x","g":"127.0.0.1:9",` + common + `,"c":1,"e":9223372036854775807,"q":1}`},
		"own incarnation":     {"nodes/a", `{"n":"a","g":"127.0.0.1:9",` + common + `,"c":1,"e":9223372036854775807,"q":1}`},
		"own sequence":        {"nodes/a", `{"n":"a","g":"127.0.0.1:9",` + common + `,"c":1,"e":1,"q":9223372036854775807}`},
		"key of another node": {"nodes/x", `{"n":"b","g":"127.0.0.1:9",` + common + `,"c":1,"e":99999999999999,"q":1}`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			shared := newFakeStore()
			a, b := startRegistry(t, shared, "a"), startRegistry(t, shared, "b")
			both := func() int { return a.readyNodes() + b.readyNodes() }
			g.Eventually(both).WithTimeout(settleTime).Should(gomega.Equal(4))
			shared.modify(func(s *fakeStore) { s.write(store.Event{Key: odd.key, Value: []byte(odd.value)}) })
			b.UpdateLocalEntry(func(e *fleet.Entry) { e.Slots = 7 })
			slotsAtA := func() int {
				entry, _ := a.fleet.Get("b")
				return entry.Slots
			}
			g.Eventually(slotsAtA).WithTimeout(settleTime).Should(gomega.Equal(7), "a goes on following the list")
			c := startRegistry(t, shared, "c")
			g.Eventually(c.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(3), "a node that starts reads the list")
			a.UpdateLocalEntry(func(e *fleet.Entry) { e.Slots = 5 })
			entryOfA := func() fleet.Entry {
				entry, _ := c.fleet.Get("a")
				return entry
			}
			g.Eventually(func() int { return entryOfA().Slots }).WithTimeout(settleTime).Should(gomega.Equal(5), "the entry of a goes on changing")
			g.Eventually(a.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(3), "a learns of a node that starts later")
			g.Consistently(a.readyNodes).WithTimeout(100 * time.Millisecond).Should(gomega.Equal(3))
			g.Expect(entryOfA().Incarnation).To(gomega.BeNumerically(">", 0))
		})
	}
}
