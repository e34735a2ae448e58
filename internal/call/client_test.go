package call

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// testClient keeps the connections of as many callers as any test has.
var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// ask is a call of a caller.
type ask struct {
	method, path, key, body string
	header                  http.Header
}

// reply is what the caller gets.
type reply struct {
	*http.Response
	content string
	code    string
	run     result.RunState
}

// request returns the call as a request to the front.
func (f *fleet) request(t testing.TB, a ask) *http.Request {
	t.Helper()
	request, err := http.NewRequest(a.method, "http://"+f.addresses[0]+a.path, strings.NewReader(a.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testService
	for name, values := range a.header {
		request.Header[name] = values
	}
	if a.key != "" {
		request.Header.Set(HeaderKey, a.key)
	}
	return request
}

// ask sends a call to the front and reads the whole answer.
func (f *fleet) ask(t testing.TB, a ask) reply {
	t.Helper()
	response, err := testClient.Do(f.request(t, a))
	if err != nil {
		t.Error(err)
		return reply{Response: new(http.Response)}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return reply{response, string(content), response.Header.Get(HeaderResult), result.RunState(response.Header.Get(HeaderRun))}
}

// get sends a call without a key and a body.
func (f *fleet) get(t testing.TB, path string) reply {
	t.Helper()
	return f.ask(t, ask{method: http.MethodGet, path: path})
}

// order sends a non-idempotent call.
func (f *fleet) order(t testing.TB, key, body string) reply {
	t.Helper()
	return f.ask(t, ask{method: http.MethodPost, path: "/orders", key: key, body: body})
}
