package ingress

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestAmbiguousHeadsAreRefused guards against a head that another parser reads with
// another framing, host or header: what follows could be run as another request.
func TestAmbiguousHeadsAreRefused(t *testing.T) {
	for name, head := range map[string]string{
		"space before the colon of a length":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello",
		"space before the colon of a coding":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"space before the colon of a host":      "GET /a HTTP/1.1\r\nHost: h\r\nHost : other\r\n\r\n",
		"space in a name":                       "GET /a HTTP/1.1\r\nHost: h\r\nContent Length: 5\r\n\r\n",
		"slash in a name":                       "GET /a HTTP/1.1\r\nHost: h\r\nContent/Length: 5\r\n\r\n",
		"empty name":                            "GET /a HTTP/1.1\r\nHost: h\r\n: 5\r\n\r\n",
		"no colon":                              "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length\r\n\r\n",
		"folded line":                           "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 5\r\n\r\n",
		"folded length":                         "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\t5\r\n\r\nhello",
		"other host in the target":              "GET http://other/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"host with a port only in the target":   "GET http://h:80/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"signed length":                         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello",
		"list of lengths":                       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5, 5\r\n\r\nhello",
		"host with a slash":                     "GET /a HTTP/1.1\r\nHost: h/x\r\n\r\n",
		"host with a space":                     "GET /a HTTP/1.1\r\nHost: h x\r\n\r\n",
		"host with user information":            "GET /a HTTP/1.1\r\nHost: u@h\r\n\r\n",
		"carriage return inside a line":         "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\rContent-Length: 5\r\n\r\n",
		"two carriage returns in an empty line": "\r\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"two carriage returns at the end":       "GET /a HTTP/1.1\r\nHost: h\r\n\r\r\n",
		"carriage return before the line feed":  "GET /a HTTP/1.1\r\nHost: h\r\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, nil)
			c := s.dial(t, g)
			c.send(head + get("/smuggled"))
			status, _, closes := c.receive()
			g.Expect([]any{status, closes}).To(gomega.Equal([]any{400, true}))
			g.Expect(s.startedPaths()).To(gomega.BeEmpty())
		})
	}
}

// TestUnusualHeadsAreAccepted guards against refusing a head that has one meaning.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"absolute form":              "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"absolute form, other case":  "GET HTTP://H/a HTTP/1.1\r\nHost: h\r\n\r\n",
		"host with a port":           "GET /a HTTP/1.1\r\nHost: h:80\r\n\r\n",
		"IPv6 host":                  "GET /a HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
		"no space behind the colon":  "GET /a HTTP/1.1\r\nHost:h\r\n\r\n",
		"spaces around a value":      "GET /a HTTP/1.1\r\nHost: \th \r\nX-A: \t b\t \r\n\r\n",
		"tab inside a value":         "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\tc\r\n\r\n",
		"token characters in a name": "GET /a HTTP/1.1\r\nHost: h\r\nX_a!#$%&'*+-.^`|~1: b\r\n\r\n",
		"bytes above ASCII":          "GET /a HTTP/1.1\r\nHost: h\r\nX-A: bj\xc3\xb8rn\r\n\r\n",
		"line feeds only":            "GET /a HTTP/1.1\nHost: h\n\n",
		"empty value":                "GET /a HTTP/1.1\r\nHost: h\r\nX-A:\r\n\r\n",
		"empty line first":           "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, nil)
			c := s.dial(t, g)
			c.send(head)
			status, _, _ := c.receive()
			g.Expect(status).To(gomega.Equal(200))
			g.Expect(s.startedPaths()).To(gomega.Equal([]string{"/a"}))
		})
	}
}
