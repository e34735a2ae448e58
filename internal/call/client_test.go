package call

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// testClient keeps idle connections for as many concurrent callers as any test
// has.
var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// testRequest is a call of a caller.
type testRequest struct {
	method, path, key, body string
	header                  http.Header
}

// testResponse is the response that a caller receives.
type testResponse struct {
	*http.Response
	content string
	code    string
	run     result.RunState
}

// httpRequest returns the HTTP request for the outbound proxy.
func (f *fleet) httpRequest(t testing.TB, r testRequest) *http.Request {
	t.Helper()
	request, err := http.NewRequest(r.method, "http://"+f.addresses[0]+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testService
	for name, values := range r.header {
		request.Header[name] = values
	}
	if r.key != "" {
		request.Header.Set(HeaderKey, r.key)
	}
	return request
}

// send sends a call to the outbound proxy and reads the complete response.
func (f *fleet) send(t testing.TB, r testRequest) testResponse {
	t.Helper()
	response, err := testClient.Do(f.httpRequest(t, r))
	if err != nil {
		t.Error(err)
		return testResponse{Response: new(http.Response)}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return testResponse{response, string(content), response.Header.Get(HeaderResult), result.RunState(response.Header.Get(HeaderRun))}
}

// get sends a GET request without a key and a body.
func (f *fleet) get(t testing.TB, path string) testResponse {
	t.Helper()
	return f.send(t, testRequest{method: http.MethodGet, path: path})
}

// order sends a non-idempotent call.
func (f *fleet) order(t testing.TB, key, body string) testResponse {
	t.Helper()
	return f.send(t, testRequest{method: http.MethodPost, path: "/orders", key: key, body: body})
}
