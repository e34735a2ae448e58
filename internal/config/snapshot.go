package config

import (
	"cmp"
	"slices"
)

// Snapshot is an immutable configuration that NewSnapshot has validated as a
// whole.
type Snapshot struct {
	document Document
	digest   Digest
	// routes holds the targets by service, those with the longest path first.
	routes map[string][]*Target
}

// EmptySnapshot returns the snapshot of version 0, which is in force before the
// first document. It matches no call.
func EmptySnapshot() *Snapshot { return &Snapshot{} }

// NewSnapshot validates the document and builds the route index. The snapshot
// copies the lists of the document.
func NewSnapshot(document Document) (*Snapshot, error) {
	if err := document.Validate(); err != nil {
		return nil, err
	}
	plain, err := document.canonicalJSON()
	if err != nil {
		return nil, err
	}
	document.Targets = slices.Clone(document.Targets)
	document.Stops = slices.Clone(document.Stops)
	document.Changes = slices.Clone(document.Changes)
	return &Snapshot{
		document: document,
		digest:   Digest{Version: document.Version, Hash: hashOf(plain)},
		routes:   routesOf(document.Targets),
	}, nil
}

// DecodeSnapshot decodes and validates a compressed document.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	document, err := DecodeDocument(data)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(document)
}

func routesOf(targets []Target) map[string][]*Target {
	routes := make(map[string][]*Target)
	for i := range targets {
		service := targets[i].Service
		routes[service] = append(routes[service], &targets[i])
	}
	for _, list := range routes {
		slices.SortStableFunc(list, func(a, b *Target) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	return routes
}

// Encode returns the compressed document.
func (s *Snapshot) Encode() ([]byte, error) { return s.document.Encode() }

// Target returns the target with the name; false when there is none.
func (s *Snapshot) Target(name string) (*Target, bool) {
	index, found := slices.BinarySearchFunc(s.document.Targets, name, func(t Target, name string) int { return cmp.Compare(t.Name, name) })
	if !found {
		return nil, false
	}
	return &s.document.Targets[index], true
}

// Version returns the document version; 0 for the empty snapshot.
func (s *Snapshot) Version() uint64 { return s.digest.Version }

// Digest returns the version and the content hash of the document.
func (s *Snapshot) Digest() Digest { return s.digest }

// Document returns the document. The caller must not change it.
func (s *Snapshot) Document() Document { return s.document }

// Stops returns the planned stops. The caller must not change them.
func (s *Snapshot) Stops() []Stop { return s.document.Stops }

// MissingChanges returns the IDs of the changes that another snapshot lists and this one
// does not, oldest first. Changes older than those that this one lists are left out.
func (s *Snapshot) MissingChanges(other *Snapshot) []string {
	oldest := uint64(0)
	if len(s.document.Changes) == MaxAppliedChanges {
		oldest = s.document.Changes[0].Version
	}
	var missing []string
	for _, change := range other.document.Changes {
		if _, found := s.document.AppliedVersion(change.ID); !found && change.Version >= oldest {
			missing = append(missing, change.ID)
		}
	}
	return missing
}

// Match returns the target that a call matches; false when there is none.
func (s *Snapshot) Match(service, method, path string) (*Target, bool) {
	for _, target := range s.routes[service] {
		if target.matches(method, path) {
			return target, true
		}
	}
	return nil, false
}
