package node

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
)

// retainedResponses connects the call path to the answers retainedResponses for repeats.
type retainedResponses struct{ responses *claim.Answers }

// Retain stores a whole answer.
func (r retainedResponses) Retain(service, key string, fingerprint uint64, status int, header http.Header, body []byte) {
	claimed := claim.Claim{Service: service, Key: key, Fingerprint: fingerprint}
	r.responses.Keep(claimed, claim.Answer{Status: status, Header: header, Body: body})
}

// Lookup returns the answer of the call with the key. The claim that led here has
// compared the fingerprints.
func (r retainedResponses) Lookup(service, key string, _ uint64) (status int, header http.Header, body []byte, ok bool) {
	response := r.responses.Lookup(service, key)
	return response.Status, response.Header, response.Body, response.State == claim.AnswerKept
}
