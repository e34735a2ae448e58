package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its method, its path with the query, and
// the hash of its body.
func Fingerprint(method, path string, bodyHash uint64) uint64 {
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], bodyHash)
	digest := xxhash.New()
	_, _ = digest.WriteString(method)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(sum[:])
	return digest.Sum64()
}
