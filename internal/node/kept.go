package node

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
)

// kept connects the call path to the answers kept for repeats.
type kept struct{ answers *claim.ResponseCache }

// Retain stores a whole answer.
func (k kept) Retain(service, key string, fingerprint uint64, status int, header http.Header, body []byte) {
	won := claim.Claim{Service: service, Key: key, Fingerprint: fingerprint}
	k.answers.Retain(won, claim.Response{Status: status, Header: header, Body: body})
}

// Lookup returns the answer of the call with the key. The claim that led here has
// compared the fingerprints.
func (k kept) Lookup(service, key string, _ uint64) (status int, header http.Header, body []byte, ok bool) {
	answer := k.answers.Lookup(service, key)
	return answer.Status, answer.Header, answer.Body, answer.State == claim.ResponseRetained
}
