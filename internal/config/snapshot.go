package config

// Snapshot is an immutable configuration that passed validation as a whole.
// NewSnapshot builds it.
type Snapshot struct {
	document Document
	digest   Digest
	// routes holds the targets of each service, longest path first.
	routes map[string][]*Target
}

// Version returns the document version; 0 for the empty snapshot.
func (s *Snapshot) Version() uint64 { return s.digest.Version }

// Digest returns the version and the content hash.
func (s *Snapshot) Digest() Digest { return s.digest }

// Document returns the document. The caller must not change it.
func (s *Snapshot) Document() Document { return s.document }

// Stops returns the planned stops. The caller must not change them.
func (s *Snapshot) Stops() []Stop { return s.document.Stops }

// Match returns the target of a call; false when none matches.
func (s *Snapshot) Match(service, method, path string) (*Target, bool) {
	for _, target := range s.routes[service] {
		if target.matches(method, path) {
			return target, true
		}
	}
	return nil, false
}
