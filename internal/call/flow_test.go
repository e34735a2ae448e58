package call

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
)

func standIn(int) http.Handler {
	return backend.New(backend.Options{Slots: 100})
}

// answerTo sends a call of a caller and returns the answer with its body.
func answerTo(t testing.TB, method, url, key, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testService
	if key != "" {
		request.Header.Set(HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(content)
}

// TestOutcomes guards against a wrong code or run state for the usual cases.
func TestOutcomes(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 2, slots: 10, attempts: 3}, standIn)
	cases := []struct {
		name, method, path, key, body string
		run                           result.RunState
		code                          string
	}{
		{"lookup", "GET", "/patterns/1", "", "", result.Ran, ""},
		{"order", "POST", "/orders", "k1", "flag", result.Ran, ""},
		{"repeated order", "POST", "/orders", "k1", "flag", result.Ran, ""},
		{"reused key", "POST", "/orders", "k1", "other", result.NotRun, "61"},
		{"no key", "POST", "/orders", "", "flag", result.NotRun, "54"},
		{"no target", "GET", "/nothing", "", "", result.NotRun, "50"},
		{"large order", "POST", "/orders", "k2", strings.Repeat("x", 300<<10), result.NotRun, "58"},
		{"large upload", "PUT", "/files/1", "", strings.Repeat("x", 3<<20), result.Ran, ""},
		{"dot segments", "GET", "/patterns/../orders", "", "", result.NotRun, "60"},
	}
	for _, c := range cases {
		response, content := answerTo(t, c.method, f.url(c.path), c.key, c.body)
		run, code := response.Header.Get(HeaderRun), response.Header.Get(HeaderResult)
		if run != string(c.run) || code != c.code || response.Header.Get(HeaderCallID) == "" {
			t.Errorf("%s: run %q, code %q, headers %v, body %s", c.name, run, code, response.Header, content)
		}
		if c.run == result.Ran && !strings.Contains(content, backend.Digest([]byte(c.body))) {
			t.Errorf("%s: answer %s is not for the body sent", c.name, content)
		}
	}
}
