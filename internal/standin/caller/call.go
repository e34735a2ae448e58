package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
)

// compareBytes is the buffer size for comparing a download, in bytes.
const compareBytes = 32 << 10

// call is one call with the data to verify its response.
type call struct {
	class Class
	id    string
	key   string
	body  []byte
}

func newCall(class Class, id string, random *rand.Rand) *call {
	c := &call{class: class, id: id, body: make([]byte, class.Body)}
	for i := range c.body {
		c.body[i] = 'a' + byte(random.IntN(26))
	}
	if class.AtMostOnce {
		c.key = id
	}
	return c
}

// do sends one attempt to a node and checks the response.
func (c *call) do(client *http.Client, node string) outcome {
	url := "http://" + node + c.class.Path
	if c.class.Size > 0 {
		url += fmt.Sprintf("?size=%d", c.class.Size)
	}
	request, err := http.NewRequest(c.class.Method, url, http.NoBody)
	if err != nil {
		return outcome{kind: failed}
	}
	if len(c.body) > 0 {
		// Without GetBody the HTTP client does not retry an order by itself.
		request.Body = io.NopCloser(bytes.NewReader(c.body))
		request.ContentLength = int64(len(c.body))
	}
	request.Host = c.class.Service
	request.Header.Set(backend.HeaderID, c.id)
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return outcome{kind: unknown}
	}
	defer response.Body.Close()
	return c.check(response)
}

func (c *call) check(response *http.Response) outcome {
	if code := response.Header.Get("Rosemaryladder-Result"); code != "" {
		if response.Header.Get("Rosemaryladder-Run") == "unknown" {
			return outcome{kind: unknown, code: code}
		}
		return outcome{kind: refused, code: code}
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return outcome{kind: failed}
	}
	if response.Header.Get(backend.HeaderID) != c.id {
		return outcome{kind: mismatched}
	}
	if c.class.Size > 0 {
		return c.checkDownload(response.Body)
	}
	return c.checkEcho(response.Body)
}

func (c *call) checkEcho(body io.Reader) outcome {
	content, err := io.ReadAll(body)
	if err != nil {
		return outcome{kind: truncated}
	}
	var response backend.Response
	if json.Unmarshal(content, &response) != nil || response.Key != c.key || response.Length != len(c.body) || response.Digest != backend.Digest(c.body) {
		return outcome{kind: mismatched}
	}
	return outcome{kind: complete}
}

func (c *call) checkDownload(body io.Reader) outcome {
	want := backend.Content(c.id, c.class.Size)
	got, expected := make([]byte, compareBytes), make([]byte, compareBytes)
	for {
		n, err := body.Read(got)
		if _, readErr := io.ReadFull(want, expected[:n]); readErr != nil || !bytes.Equal(got[:n], expected[:n]) {
			return outcome{kind: mismatched}
		}
		switch {
		case err == io.EOF:
			if left, _ := io.CopyN(io.Discard, want, 1); left > 0 {
				return outcome{kind: mismatched}
			}
			return outcome{kind: complete}
		case err != nil:
			return outcome{kind: truncated}
		}
	}
}
