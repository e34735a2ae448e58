package httpserver

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// EncodeRefusal returns the bytes of a response for Options.Refusal, which ends its
// connection.
func EncodeRefusal(status int, header http.Header, body []byte) ([]byte, error) {
	response := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: true,
	}
	var encoded bytes.Buffer
	if err := response.Write(&encoded); err != nil {
		return nil, errors.Wrap(err, "encode a refusal")
	}
	return encoded.Bytes(), nil
}
