package operator

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
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
	status, found := statuses[result.CodeOf(err)]
	if !found {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, problemOf(err))
}

func problemOf(err error) Problem {
	code := result.CodeOf(err)
	entry := result.Describe(code)
	return Problem{Code: code, Name: entry.Name, Message: err.Error(), Next: entry.Next}
}

// closingResponse returns the response that is sent on each connection without a request
// when the node stops. net/http's clients drop a response 408 on an idle connection
// without a log line (RFC 9110, section 15.5.9).
func closingResponse(message string) ([]byte, error) {
	body, err := json.Marshal(problemOf(result.Errorf(result.NodeUnreachable, "%s", message)))
	if err != nil {
		return nil, errors.Wrap(err, "encode the closing response of the operator port")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return httpserver.EncodeRefusal(http.StatusRequestTimeout, header, body)
}

// writeJSON writes a response. It ignores the error of the write, which fails
// only when the peer has disconnected.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
