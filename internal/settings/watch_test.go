package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestWatchReportsCompleteChanges guards against a change of the settings file without a
// signal that is not noticed, is reported before it is complete, or is reported twice.
func TestWatchReportsCompleteChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(contents string) { g.Expect(os.WriteFile(path, []byte(contents), 0o600)).To(gomega.Succeed()) }
	write("service = a")
	w := NewWatch(path)
	looks := func(n int) (changes int) {
		for range n {
			if w.Changed() {
				changes++
			}
		}
		return changes
	}
	g.Expect(looks(3)).To(gomega.BeZero())
	write("service = b")
	g.Expect(looks(4)).To(gomega.Equal(1))
	write("serv")
	g.Expect(looks(1)).To(gomega.BeZero())
	write("service = c")
	g.Expect(looks(1)).To(gomega.BeZero(), "reported while it was being written")
	g.Expect(looks(3)).To(gomega.Equal(1))
	g.Expect(os.Remove(path)).To(gomega.Succeed())
	g.Expect(looks(3)).To(gomega.BeZero())
	write("service = c")
	g.Expect(looks(3)).To(gomega.BeZero(), "the same contents as before")
	write("service = d")
	g.Expect(looks(1)).To(gomega.BeZero())
	w.Loading()
	g.Expect(looks(3)).To(gomega.BeZero(), "loaded after a signal meanwhile")
	write("service = e")
	g.Expect(looks(1)).To(gomega.BeZero())
	write("service = d")
	g.Expect(looks(3)).To(gomega.BeZero(), "changed and changed back")
}
