package call

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// refusal describes why a call got no response from a backend server and whether
// it ran.
type refusal struct {
	code    result.Code
	run     result.RunState
	message string
	// claimedBy and fingerprint identify the node that claimed the key and the
	// claimed call, when the code is RepeatUnknown.
	claimedBy   string
	fingerprint uint64
	// load is the load that the inbound proxy reported; nil when it reported
	// none.
	load *route.Load
	// broken is set when the connection to the backend server broke.
	broken bool
	// cancelled is set when the caller cancelled the call.
	cancelled bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code    result.Code     `json:"code"`
	Name    string          `json:"name"`
	Run     result.RunState `json:"run"`
	Message string          `json:"message"`
	Next    string          `json:"next"`
	CallID  string          `json:"call_id"`
}

// refuse returns a refusal with the run state that belongs to the code.
func refuse(code result.Code, message string) *refusal {
	return &refusal{code: code, run: result.RunStateOf(code), message: message}
}

// refuseError returns a refusal for an error that occurred before the call ran.
// It uses the fallback code when the code of the error is Internal or does not
// mean not-run.
func refuseError(err error, fallback result.Code) *refusal {
	code := result.CodeOf(err)
	if code == result.Internal || result.RunStateOf(code) != result.NotRun {
		code = fallback
	}
	return refuse(code, err.Error())
}

var refusalStatus = map[result.Code]int{
	result.NoTarget:        http.StatusNotFound,
	result.DeadlineNotRun:  http.StatusGatewayTimeout,
	result.KeyRequired:     http.StatusBadRequest,
	result.Quarantined:     http.StatusForbidden,
	result.BodyTooLarge:    http.StatusRequestEntityTooLarge,
	result.BadRequest:      http.StatusBadRequest,
	result.KeyReused:       http.StatusUnprocessableEntity,
	result.ServerGone:      http.StatusBadGateway,
	result.NodeUnreachable: http.StatusBadGateway,
	result.OutcomeUnknown:  http.StatusBadGateway,
	result.RepeatUnknown:   http.StatusConflict,
	result.DeadlineUnknown: http.StatusGatewayTimeout,
	result.Internal:        http.StatusInternalServerError,
}

// status returns the HTTP status code of the refusal.
func (r *refusal) status() int {
	if status, found := refusalStatus[r.code]; found {
		return status
	}
	return http.StatusServiceUnavailable
}

// write sends the refusal as an HTTP response.
func (r *refusal) write(w http.ResponseWriter, callID string) {
	body, err := r.body(callID)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	r.setHeader(header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header[HeaderCallID] = []string{callID}
	w.WriteHeader(r.status())
	// A write fails only when the peer has disconnected.
	_, _ = w.Write(body)
}

// encode returns the refusal as an HTTP response that is sent before any call is
// read. It has no call ID, and its connection ends.
func (r *refusal) encode() ([]byte, error) {
	body, err := r.body("")
	if err != nil {
		return nil, err
	}
	header := make(http.Header)
	r.setHeader(header)
	return httpserver.EncodeRefusal(r.status(), header, body)
}

func (r *refusal) body(callID string) ([]byte, error) {
	entry := result.Describe(r.code)
	body, err := json.Marshal(refusalBody{Code: r.code, Name: entry.Name, Run: r.run, Message: r.message, Next: entry.Next, CallID: callID})
	return body, errors.Wrap(err, "encode the body of a refusal")
}

// setHeader sets the headers that do not depend on the call.
func (r *refusal) setHeader(header http.Header) {
	header.Set("Content-Type", "application/json")
	header[HeaderResult] = []string{strconv.Itoa(int(r.code))}
	header[HeaderRun] = []string{string(r.run)}
	if r.claimedBy != "" {
		header[headerClaimed] = []string{r.claimedBy + " " + strconv.FormatUint(r.fingerprint, 16)}
	}
}
