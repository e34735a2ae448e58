package claim_test

import (
	"fmt"
	"testing"
	"time"
)

// TestClaimIsKeptAfterARestore guards against a call that runs twice, or a key that can
// no longer be claimed, because the store came back from a copy that lacks claims
// which the owner of their shard has recorded and still holds.
func TestClaimIsKeptAfterARestore(t *testing.T) {
	const keys, bound = 100, 2 * time.Second
	for _, copied := range []string{"before the first claim", "between claims"} {
		t.Run(copied, func(t *testing.T) {
			m := newMesh(t)
			owner := m.start("owner", "north")
			snapshot := m.store.State().Snapshot()
			if copied == "between claims" {
				m.race("before", keys, owner)
				snapshot = m.store.State().Snapshot()
			}
			m.race("lost", keys, owner)
			m.store.State().Restore(snapshot)
			twice, failed := 0, 0
			for i := range keys {
				requested, holder, err := owner.claim(fmt.Sprintf("lost-%d", i), bound)
				if err == nil && holder.WonBy(requested.ID) {
					twice++
				}
				if requested, holder, err = owner.claim(fmt.Sprintf("new-%d", i), bound); err != nil || !holder.WonBy(requested.ID) {
					failed++
				}
				if failed > 3 {
					break
				}
			}
			if twice > 0 || failed > 0 {
				t.Errorf("%d keys were granted twice and %d new keys could not be claimed", twice, failed)
			}
		})
	}
}
