package config

// MaxAppliedChanges is the maximum number of applied changes that a document
// lists.
const MaxAppliedChanges = 256

// StoreKey is the key of the document in the store.
const StoreKey = "config/document"

// AppliedChange names a change and the version that it produced.
type AppliedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Document is the complete configuration at one version. Targets are sorted by
// name, stops by id and changes by version.
type Document struct {
	Version uint64          `json:"version"`
	Targets []Target        `json:"targets"`
	Stops   []Stop          `json:"stops"`
	Changes []AppliedChange `json:"changes"`
}

// Digest identifies a document by its version and the hash of its canonical
// encoding.
type Digest struct {
	Version uint64
	Hash    uint64
}
