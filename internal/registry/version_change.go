package registry

// versionChange leads from one version of the configuration to the next one that
// the sender held.
type versionChange struct {
	From uint64 `json:"f"`
	To   uint64 `json:"t"`
	// Delta is compressed: a version that adds many routes is long.
	Delta []byte `json:"d"`
	// Checksum is the hash of the configuration that the delta leads to.
	Checksum uint64 `json:"s"`
}

// maxVersionChanges bounds the changes that are kept: the versions of a few seconds
// of quick changes. A node that is further behind gets the whole configuration.
const maxVersionChanges = 16

// changesFrom returns the changes that lead from a version to the newest; false when
// they are not all kept.
func changesFrom(kept []versionChange, version uint64) ([]versionChange, bool) {
	for i, change := range kept {
		if change.From == version {
			return kept[i:], true
		}
	}
	return nil, false
}
