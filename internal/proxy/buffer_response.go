package proxy

import (
	"bytes"
	"io"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// bufferResponse reads a response of up to limit bytes into memory, so that a
// truncated one can be retried or reported as a failure. A larger one is streamed.
func bufferResponse(response *serverResponse, limit int) (*serverResponse, *refusalReason) {
	if response.length > int64(limit) {
		return response, nil
	}
	var buffer bytes.Buffer
	if response.length > 0 {
		// ReadFrom needs bytes.MinRead free bytes to detect the end of the input.
		buffer.Grow(int(response.length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(response.body, int64(limit)))
	if err != nil {
		response.finish(false)
		return nil, &refusalReason{code: result.OutcomeUnknown, message: "read the response body: " + err.Error(), maybeDelivered: true}
	}
	if n == int64(limit) && response.length != n {
		response.body = io.MultiReader(&buffer, response.body)
		return response, nil
	}
	response.finish(true)
	return &serverResponse{status: response.status, header: response.header, length: n, body: &buffer, finish: func(bool) {}}, nil
}
