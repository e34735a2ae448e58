package config

// MaxKeptChanges is the number of change ids that a document keeps.
const MaxKeptChanges = 256

// StoreKey is the store key of the document.
const StoreKey = "config/document"

// AppliedChange names a change and the version that it made.
type AppliedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Document is the whole configuration at one version. Targets are sorted by
// name, stops by id and changes by version.
type Document struct {
	Version uint64          `json:"version"`
	Targets []Target        `json:"targets"`
	Stops   []Stop          `json:"stops"`
	Changes []AppliedChange `json:"changes"`
}

// Digest names a document by its version and the hash of its canonical
// encoding.
type Digest struct {
	Version uint64
	Hash    uint64
}
