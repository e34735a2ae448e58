package operator

import (
	"encoding/json"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// statuses maps result codes to HTTP statuses. Other codes map to 500.
var statuses = map[result.Code]int{
	result.Usage:                http.StatusBadRequest,
	result.TargetInvalid:        http.StatusBadRequest,
	result.TargetUnknownKey:     http.StatusBadRequest,
	result.TargetContradiction:  http.StatusBadRequest,
	result.ObjectiveImpossible:  http.StatusBadRequest,
	result.StopInvalid:          http.StatusBadRequest,
	result.DocumentTooLarge:     http.StatusRequestEntityTooLarge,
	result.VersionConflict:      http.StatusConflict,
	result.NotFound:             http.StatusNotFound,
	result.StoreUnavailable:     http.StatusServiceUnavailable,
	result.ChangeOutcomeUnknown: http.StatusGatewayTimeout,
	result.NodeUnreachable:      http.StatusBadGateway,
	result.NodeNotReady:         http.StatusServiceUnavailable,
}

// writeProblem writes the error response of a failed request.
func writeProblem(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	status, found := statuses[code]
	if !found {
		status = http.StatusInternalServerError
	}
	entry := result.Describe(code)
	writeJSON(w, status, Problem{Code: code, Name: entry.Name, Message: err.Error(), Next: entry.Next})
}

// writeJSON writes a response. It ignores the error of the write, which fails
// only when the peer has disconnected.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
