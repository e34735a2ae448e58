package app

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// signedHead begins a signed response. Its arguments are the ID of the request and the rest
// of the head.
const signedHead = "HTTP/1.1 200 OK\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Response-Signature: s\r\n%s"

// endlessForms are the ways in which a server in trouble sends bytes without end: the rest
// of the head, and what it repeats until the connection is closed.
var endlessForms = map[string]struct{ head, repeated string }{
	"head":     {"", "X-More: more\r\n"},
	"line":     {"X-More: ", "more"},
	"chunks":   {"Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"trailers": {"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: more\r\n"},
	"unsized":  {"\r\n", "more"},
	"sized":    {"Content-Length: 1099511627776\r\n\r\n", "more"},
	"behind":   {"Content-Length: 2\r\n\r\nok", "more"},
	"junk":     {"", "\x00\x01more"},
	"interim":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
}

// EndlessForms returns the values of the query parameter "endless", with which a request
// gets bytes without end.
func EndlessForms() []string { return slices.Sorted(maps.Keys(endlessForms)) }

// endlessWriteBytes is the size of a write, so that sending costs little.
const endlessWriteBytes = 32 << 10

// sendEndless responds in one of the endless forms until the connection is closed.
func sendEndless(w http.ResponseWriter, id, name string) {
	form, found := endlessForms[name]
	if !found {
		http.Error(w, fmt.Sprintf("unknown form %q", name), http.StatusBadRequest)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if name != "junk" && name != "interim" {
		_, err = fmt.Fprintf(conn, signedHead, id, form.head)
	}
	repeated := strings.Repeat(form.repeated, endlessWriteBytes/len(form.repeated))
	for err == nil {
		_, err = io.WriteString(conn, repeated)
	}
}
