package proxy

import (
	"bytes"
	"io"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// bufferResponse reads a response of up to limit bytes into memory, so that a
// truncated one can be retried or reported as a failure. A larger one, or one for which
// the budget has no room, is streamed.
func bufferResponse(response *serverResponse, limit int, budget *bufferBudget) (*serverResponse, *refusalReason) {
	want := int64(limit)
	if response.length >= 0 {
		if response.length > want {
			return response, nil
		}
		want = response.length
	}
	taken := budget.take(want)
	if response.length >= 0 && taken < want {
		budget.give(taken)
		return response, nil
	}
	buffered, n, err := readUpTo(response.body, taken, response.length)
	if err != nil {
		budget.give(taken)
		response.finish(false)
		return nil, &refusalReason{code: result.OutcomeUnknown, message: "read the response body: " + err.Error(), maybeDelivered: true}
	}
	if n == taken && response.length != n {
		finish := response.finish
		response.body = io.MultiReader(buffered, response.body)
		response.finish = func(complete bool) {
			budget.give(taken)
			finish(complete)
		}
		return response, nil
	}
	response.finish(true)
	budget.give(taken - n)
	return &serverResponse{status: response.status, header: response.header, length: n, body: buffered, buffered: true, finish: func(bool) { budget.give(n) }}, nil
}

// bufferChunkBytes is the size of the parts in which a body of unknown length is
// buffered. A single growing buffer would hold up to three times the bytes read.
const bufferChunkBytes = 32 << 10

// readUpTo reads a body to its end, or up to limit bytes of it. length is the stated
// length of the body; negative when it is unknown.
func readUpTo(body io.Reader, limit, length int64) (buffered io.Reader, n int64, err error) {
	body = io.LimitReader(body, limit)
	if length >= 0 {
		var buffer bytes.Buffer
		// ReadFrom needs bytes.MinRead free bytes to detect the end of the input.
		buffer.Grow(int(length) + bytes.MinRead)
		n, err = buffer.ReadFrom(body)
		return &buffer, n, err
	}
	var chunks []io.Reader
	for {
		chunk := make([]byte, bufferChunkBytes)
		read := 0
		// io.ReadFull would hide that a body is truncated.
		for read < len(chunk) && err == nil {
			var count int
			count, err = body.Read(chunk[read:])
			read += count
		}
		n += int64(read)
		if read > 0 {
			chunks = append(chunks, bytes.NewReader(chunk[:read]))
		}
		if err == io.EOF {
			return io.MultiReader(chunks...), n, nil
		}
		if err != nil {
			return nil, n, err
		}
	}
}
