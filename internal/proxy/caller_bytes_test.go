package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Services and prefixes of the routes for caller bytes.
const (
	bytesHost    = "h"
	bytesLookups = "lookups"
	bytesOrders  = "orders"
)

var bytesPrefixes = map[string]string{"/get/": bytesLookups, "/get/order/": bytesOrders, "/post/": bytesOrders}

// callerBytes checks what two servers run of the bytes that a caller sends: ingress,
// outbound proxy and inbound proxy are the real ones, the servers parse on their own.
type callerBytes struct {
	address string
	servers map[string]*parsingServer
	// ran is the number of requests that the servers ran.
	ran int
	// notRun are the last requests that no server had run when their connection ended. A
	// server may still do it: it reads what was sent before the request was cancelled.
	notRun []parsedRequest
}

func newCallerBytes(t testing.TB) *callerBytes {
	c := &callerBytes{servers: map[string]*parsingServer{bytesLookups: newParsingServer(t, bytesLookups), bytesOrders: newParsingServer(t, bytesOrders)}}
	f := &testFleet{
		t: t, services: map[string]string{"a": bytesLookups, "b": bytesOrders},
		rawServers: map[string]string{"a": c.servers[bytesLookups].address, "b": c.servers[bytesOrders].address},
		routes:     bytesRoutes(t),
	}
	startTestFleet(f, 2, 16)
	c.address = strings.TrimPrefix(f.nodes[0].outboundURL, "http://")
	return c
}

// bytesRoutes returns routes with short time-outs: what a caller sends arrives at once.
func bytesRoutes(t testing.TB) *routing.Holder {
	var routes []routing.Route
	for prefix, service := range bytesPrefixes {
		routes = append(routes, routing.Route{
			Name: prefix, Host: bytesHost, Prefix: prefix, Idempotent: service == bytesLookups, Timeout: 250 * time.Millisecond,
			Objective: 200 * time.Millisecond, MaxAttempts: 1, Destinations: []routing.Destination{{Service: service, Weight: 1}},
		})
	}
	limits := routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 20 * time.Millisecond, IdleTimeout: 5 * time.Millisecond}
	var services []routing.Service
	for _, name := range []string{bytesLookups, bytesOrders} {
		services = append(services, routing.Service{Name: name, HealthPath: "/healthz", MaxConnections: 100})
	}
	table, err := routing.NewTable(1, routes, services, limits)
	if err != nil {
		t.Fatal(err)
	}
	holder := &routing.Holder{}
	holder.Publish(table)
	return holder
}

// bytesService returns the service that a path belongs to; empty for none.
func bytesService(path string) string {
	longest := ""
	for prefix := range bytesPrefixes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return bytesPrefixes[longest]
}

// check sends data on a connection of its own and compares what ran, and the responses,
// with the requests that the parser of the servers reads from data.
func (c *callerBytes) check(t interface{ Fatalf(string, ...any) }, data []byte) {
	sent := parseAll(data)
	responses := c.exchange(t, data, sent)
	for i, got := range responses {
		if got.status != http.StatusOK {
			continue
		}
		if i >= len(sent) || sent[i].hasInvalidTarget {
			t.Fatalf("response %d of %q is %q, to none of the %d valid requests", i, data, got.body, len(sent))
		}
		if want := bytesService(sent[i].target) + ": " + sent[i].String(); got.body != want && sent[i].method != http.MethodHead {
			t.Fatalf("response %d of %q is %q, want %q", i, data, got.body, want)
		}
	}
	for service, server := range c.servers {
		runs, faults := server.take()
		if len(faults) > 0 {
			t.Fatalf("the proxy forwarded of %q a request that is invalid: %s", data, faults[0])
		}
		c.ran += len(runs)
		for _, run := range runs {
			if !remove(&sent, run) && !remove(&c.notRun, run) {
				t.Fatalf("service %s ran of %q the request %s, which was not sent or was run before", service, data, run)
			}
			if raw, read := bytesService(run.target), bytesService(normalizedPath(run.target)); raw != service || read != service {
				t.Fatalf("service %s ran %s: its path belongs to service %q as sent and %q as %q", service, run, raw, read, normalizedPath(run.target))
			}
		}
	}
	c.notRun = append(c.notRun, sent...)
	c.notRun = c.notRun[max(0, len(c.notRun)-maxNotRun):]
}

// maxNotRun bounds the requests that a server may run late.
const maxNotRun = 100

// remove removes the request that a server ran, and reports whether it was there.
func remove(requests *[]parsedRequest, run parsedRequest) bool {
	i := slices.IndexFunc(*requests, func(request parsedRequest) bool {
		return !request.hasInvalidTarget && request.String() == run.String()
	})
	if i < 0 {
		return false
	}
	*requests = slices.Delete(*requests, i, i+1)
	return true
}

// parseAll returns the requests before the first invalid or incomplete one.
func parseAll(data []byte) (requests []parsedRequest) {
	parser := requestParser{reader: bufio.NewReader(bytes.NewReader(data)), lenient: true}
	for {
		request, err := parser.next()
		if err != nil {
			return requests
		}
		requests = append(requests, request)
	}
}

// callerResponse is a response to the caller.
type callerResponse struct {
	status int
	body   string
}

// exchange sends data and returns the complete final responses until the server closes
// the connection.
func (c *callerBytes) exchange(t interface{ Fatalf(string, ...any) }, data []byte, sent []parsedRequest) (responses []callerResponse) {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatalf("set a deadline: %v", err)
	}
	// An error means that the server has closed the connection.
	go func() { _, _ = conn.Write(data) }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				t.Fatalf("the connection with %q stays open", data)
			}
			return responses
		}
		request := &http.Request{Method: http.MethodGet}
		if len(responses) < len(sent) {
			request.Method = sent[len(responses)].method
		}
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			t.Fatalf("invalid response %d of %q: %v", len(responses), data, err)
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return responses
		}
		responses = append(responses, callerResponse{status: response.StatusCode, body: string(body)})
		if response.Close && response.StatusCode >= http.StatusBadRequest {
			// ingress sends the body of a refusal also to an invalid HEAD request.
			_, _ = io.Copy(io.Discard, reader)
		}
	}
}

// FuzzCallerBytes guards against any bytes of a caller of which a server runs something
// else than what the proxy decided on: another method, path, host, body or service, or
// a part of one request as another.
func FuzzCallerBytes(f *testing.F) {
	c := newCallerBytes(f)
	f.Fuzz(func(t *testing.T, data []byte) { c.check(t, data) })
}

// TestDrawnCallerBytes is FuzzCallerBytes with pieces of requests in any order.
func TestDrawnCallerBytes(t *testing.T) {
	c := newCallerBytes(t)
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		var data strings.Builder
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			data.WriteString(drawRequest(t))
		}
		text := data.String()
		if rapid.IntRange(0, 9).Draw(t, "truncated at 9") == 9 {
			text = text[:rapid.IntRange(0, len(text)).Draw(t, "length")]
		}
		valid += len(parseAll([]byte(text)))
		c.check(t, []byte(text))
	})
	t.Logf("the servers ran %d of %d valid requests", c.ran, valid)
	if c.ran < valid/4 {
		t.Fatalf("the servers ran %d of %d valid requests, too few to compare", c.ran, valid)
	}
}

// drawRequest draws a request of pieces of which most are usual ones.
func drawRequest(t *rapid.T) string {
	piece := func(name string, usual []string, others ...string) string {
		if rapid.IntRange(0, 9).Draw(t, name+" is usual below 8") < 8 {
			others = usual
		}
		return rapid.SampledFrom(others).Draw(t, name)
	}
	end := piece("line end", []string{"\r\n"}, "\n", "\r\r\n", "\r")
	var b strings.Builder
	b.WriteString(piece("method", []string{"GET", "POST"}, "HEAD", "PUT", "OPTIONS", "CONNECT", "get", "G T", "", "\r\nGET"))
	b.WriteString(" ")
	b.WriteString(piece("target", []string{"/get/a", "/post/a", "/get/order/a"}, "/get/../post/a", "/%67et/a", "/get/%2e%2e/post/a", "/get//order/a",
		"/get/%6frder/a", "/get/..;a/post/b", "http://h/get/a", "http://other/get/a", "*", "/get/a?b#c", "/get/a%00", "/get/\xc3\xa5", "/", ""))
	b.WriteString(piece("version", []string{" HTTP/1.1"}, " HTTP/1.0", " HTTP/2.0", " HTTP/1.2", "", " HTTP/1.1 ") + end)
	b.WriteString(piece("host", []string{"Host: h"}, "Host : h", "Host: h\r\nHost: h", "host:h", "Host: other", "X-A: b") + end)
	for range rapid.IntRange(0, 2).Draw(t, "fields") {
		b.WriteString(piece("field", []string{"X-Id: 1", "X-Deadline: 200", "Connection: keep-alive"}, "Connection: X-Id", "Connection: close", "Expect: 100-continue",
			" X-B: c", "X-B:\r\n c", "Rosemaryladder-Hop: x", "X-Expected: x", "Upgrade: h2c", "TE: trailers", "X-C: a\x00b", "Connection: Content-Length, Transfer-Encoding") + end)
	}
	content := piece("content", []string{"", "hello"}, "GET /post/b HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n0\r\nX-T: u\r\n\r\n", "5\nhello\n0\n\n", "-1\r\n")
	if content != "" {
		length := strconv.Itoa(len(content))
		b.WriteString(piece("framing", []string{"Content-Length: " + length}, "Transfer-Encoding: chunked", "Content-Length: 0"+length, "Content-Length: +"+length, "Content-Length : "+length,
			"Content-Length: "+length+"\r\nContent-Length: "+length, "Content-Length: 0\r\nTransfer-Encoding: chunked", "Transfer-Encoding : chunked", "Transfer-Encoding: gzip, chunked",
			"Transfer-Encoding:\r\n chunked", "Transfer-Encoding: \tChunKed", "Content-Length: 3", "X-None: 1") + end)
	}
	b.WriteString(end)
	b.WriteString(content)
	return b.String()
}
