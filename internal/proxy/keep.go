package proxy

import (
	"bytes"
	"io"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// bufferResponse reads a response of up to limit bytes into memory, so that a
// truncated one can be retried or reported as a failure. A larger one is streamed.
func keep(found *answer, limit int) (*answer, *refusal) {
	if found.length > int64(limit) {
		return found, nil
	}
	var buffer bytes.Buffer
	if found.length > 0 {
		// ReadFrom needs bytes.MinRead free bytes to detect the end of the input.
		buffer.Grow(int(found.length) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(found.body, int64(limit)))
	if err != nil {
		found.finish(false)
		return nil, &refusal{code: result.OutcomeUnknown, message: "read the response body: " + err.Error(), arrived: true}
	}
	if n == int64(limit) && found.length != n {
		found.body = io.MultiReader(&buffer, found.body)
		return found, nil
	}
	found.finish(true)
	return &answer{status: found.status, header: found.header, length: n, body: &buffer, finish: func(bool) {}}, nil
}
