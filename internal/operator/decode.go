package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// decodeChange reads one change request. Unknown fields are refused, because an
// older node would otherwise drop a part of a change.
func decodeChange(body io.Reader) (ChangeRequest, error) {
	var request ChangeRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return ChangeRequest{}, decodeError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return ChangeRequest{}, decodeError(errors.New("more follows the change"))
	}
	return request, nil
}

// decodeError returns the error for a body that cannot be read.
func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.DocumentTooLarge, "the change exceeds %d bytes; nothing was accepted", tooLarge.Limit)
	}
	return result.Wrap(err, result.Usage, "the change is not valid JSON; nothing was accepted")
}
