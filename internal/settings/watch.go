package settings

import (
	"bytes"
	"os"
)

// Watch notices that the contents of a settings file have changed. It is looked at
// periodically, because the hosts of the users' platform have no inotify, and compares
// contents, because two changes may leave the file with the same size and time.
type Watch struct {
	path string
	// loaded are the contents that were loaded last, and seen those of the last look.
	loaded, seen []byte
}

// NewWatch returns a watch for a file that is about to be loaded.
func NewWatch(path string) *Watch {
	w := &Watch{path: path}
	w.Loading()
	return w
}

// Loading records that the file is about to be loaded for another reason than a change
// that the watch has reported.
func (w *Watch) Loading() {
	// A file that can't be read fails to load as well.
	w.loaded, _ = os.ReadFile(w.path)
	w.seen = w.loaded
}

// Changed reports whether the file differs from what was loaded, and was the same at the
// last look: one that is being written may be incomplete and yet valid. A file that can't
// be read has not changed.
func (w *Watch) Changed() bool {
	contents, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(contents, w.loaded) {
		w.seen = w.loaded
		return false
	}
	if !bytes.Equal(contents, w.seen) {
		w.seen = contents
		return false
	}
	w.loaded = contents
	return true
}
