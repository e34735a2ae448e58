package registry

// versionChange is the change from one version of the configuration to the next one
// that the sender held.
type versionChange struct {
	From uint64 `json:"f"`
	To   uint64 `json:"t"`
	// Delta is compressed: a version that adds many routes has a long delta.
	Delta []byte `json:"d"`
	// Checksum is the hash of the configuration that results from the delta.
	Checksum uint64 `json:"s"`
}

// maxVersionChanges bounds the retained changes. It covers a few seconds of frequent
// versions; a node that is further behind receives the complete configuration.
const maxVersionChanges = 16

// changesFrom returns the changes that lead from a version to the newest one. It
// returns false when they are not all retained.
func changesFrom(retained []versionChange, version uint64) ([]versionChange, bool) {
	for i, change := range retained {
		if change.From == version {
			return retained[i:], true
		}
	}
	return nil, false
}
