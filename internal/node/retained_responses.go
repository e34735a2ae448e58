package node

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
)

// retainedResponses connects the call path to the responses that are retained
// for repeats.
type retainedResponses struct{ cache *claim.ResponseCache }

// Retain stores a complete response.
func (r retainedResponses) Retain(service, key string, fingerprint uint64, status int, header http.Header, body []byte) {
	claimed := claim.Claim{Service: service, Key: key, Fingerprint: fingerprint}
	r.cache.Retain(claimed, claim.Response{Status: status, Header: header, Body: body})
}

// Lookup returns the retained response to the call with the key; ok is false when
// there is none. It does not compare the fingerprints, because claiming the repeat
// has already compared them.
func (r retainedResponses) Lookup(service, key string, _ uint64) (status int, header http.Header, body []byte, ok bool) {
	response := r.cache.Lookup(service, key)
	return response.Status, response.Header, response.Body, response.State == claim.ResponseRetained
}
