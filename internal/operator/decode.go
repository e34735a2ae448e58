package operator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// decodeChange decodes exactly one change request. Unknown fields are rejected,
// because an older node would otherwise apply only a part of a change.
func decodeChange(body io.Reader) (ChangeRequest, error) {
	var request ChangeRequest
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return ChangeRequest{}, decodeError(err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return ChangeRequest{}, decodeError(errors.New("unexpected data after the change"))
	}
	return request, nil
}

// decodeError returns the error for a body that cannot be decoded.
func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.DocumentTooLarge, "the change exceeds %d bytes; nothing was accepted", tooLarge.Limit)
	}
	return result.Wrap(err, result.Usage, "the request body is not a valid change in JSON; nothing was accepted")
}
