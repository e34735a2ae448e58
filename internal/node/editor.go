package node

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// editor extends the configuration editor by the lookup of a past change.
type editor struct{ *config.Editor }

// Lookup returns the version that a change created, and false when the stored
// document does not list the change.
func (e editor) Lookup(ctx context.Context, changeID string) (uint64, bool, error) {
	snapshot, _, err := e.Read(ctx)
	if err != nil {
		return 0, false, err
	}
	document := snapshot.Document()
	version, accepted := document.AppliedVersion(changeID)
	return version, accepted, nil
}
