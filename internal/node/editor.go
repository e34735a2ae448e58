package node

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// editor adds the question about a past change to the configuration editor.
type editor struct{ *config.Editor }

// Lookup returns the version that a change made; false when the stored document
// does not list it.
func (e editor) Lookup(ctx context.Context, changeID string) (uint64, bool, error) {
	snapshot, _, err := e.Read(ctx)
	if err != nil {
		return 0, false, err
	}
	document := snapshot.Document()
	version, accepted := document.AppliedVersion(changeID)
	return version, accepted, nil
}
