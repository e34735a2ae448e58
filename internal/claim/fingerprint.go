package claim

import "github.com/cespare/xxhash/v2"

// Fingerprint returns the hash of a request. The reuse of an idempotency key with
// another fingerprint comes from a different request and is refused.
func Fingerprint(method, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(path)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}
