package call

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Bounds of what a caller states in headers.
const (
	maxKeyBytes = 128
	maxAttempt  = 1000
	// maxDepth leaves room above the 26 levels of today's services and still ends
	// a loop of services that call each other.
	maxDepth = 64
)

// accept checks a caller's call and reads its body. With a refusal the call is
// nil when no target matched.
func (o *outbound) accept(w http.ResponseWriter, r *http.Request, id string) (*outboundCall, *refusal) {
	now := o.deps.Now()
	call := &outboundCall{snapshot: o.deps.Snapshots.Load(), view: o.deps.View(), started: now}
	if call.snapshot == nil || call.snapshot.Version() == 0 || call.view == nil {
		return nil, refuse(result.NodeNotReady, "the node does not hold a configuration yet")
	}
	service := serviceOf(r.Host)
	if hasDotSegment(r.URL.Path) {
		return nil, refuse(result.BadRequest, fmt.Sprintf("path %q has dot segments, so that its class is ambiguous", r.URL.Path))
	}
	target, found := call.snapshot.Match(service, r.Method, r.URL.Path)
	if !found {
		return nil, refuse(result.NoTarget, fmt.Sprintf("no target of service %q matches %s %s", service, r.Method, r.URL.Path))
	}
	call.target = target
	call.request = &request{
		id: id, service: service, method: r.Method, uri: requestURI(r), header: r.Header,
		key: r.Header.Get(HeaderKey), atMostOnce: !target.Idempotent, priority: target.Priority,
	}
	if refusal := o.checkHeaders(call, r, now); refusal != nil {
		return call, refusal
	}
	body, refusal := readRequestBody(w, r, call.request.deadline, call.request.atMostOnce, o.config, o.metrics)
	call.request.body = body
	return call, refusal
}

// checkHeaders checks the key and reads deadline, attempt and depth.
func (o *outbound) checkHeaders(call *outboundCall, r *http.Request, now time.Time) *refusal {
	request := call.request
	if request.atMostOnce && request.key == "" {
		return refuse(result.KeyRequired, fmt.Sprintf("target %s is not idempotent and the call has no %s header", call.target.Name, HeaderKey))
	}
	if len(request.key) > maxKeyBytes {
		o.metrics.limitKey.Inc(1)
		return refuse(result.BadRequest, fmt.Sprintf("header %s: %d bytes exceed the limit of %d", HeaderKey, len(request.key), maxKeyBytes))
	}
	deadline, deadlineRefusal := intHeader(r, HeaderDeadline, int(call.target.Deadline.Milliseconds()), 1, int(24*time.Hour/time.Millisecond))
	attempt, attemptRefusal := intHeader(r, HeaderAttempt, 1, 1, maxAttempt)
	depth, depthRefusal := intHeader(r, HeaderDepth, 0, 0, maxDepth)
	for _, refusal := range []*refusal{deadlineRefusal, attemptRefusal, depthRefusal} {
		if refusal != nil {
			return refusal
		}
	}
	request.deadline = now.Add(min(call.target.Deadline, time.Duration(deadline)*time.Millisecond))
	request.objective = now.Add(call.target.Latency)
	request.attempt, request.depth = attempt, depth
	return nil
}

// intHeader returns the value of a numeric header, or fallback without one.
func intHeader(r *http.Request, name string, fallback, minimum, maximum int) (int, *refusal) {
	values := r.Header[name]
	if len(values) == 0 {
		return fallback, nil
	}
	value, err := strconv.Atoi(values[0])
	if err != nil || value < minimum || value > maximum {
		return 0, refuse(result.BadRequest, fmt.Sprintf("header %s: value %q must be a number from %d to %d", name, values[0], minimum, maximum))
	}
	return value, nil
}

// serviceOf returns the service that a Host header names.
func serviceOf(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// requestURI returns path and query as they were sent.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hasDotSegment reports whether a backend server may take the path for another
// one than the target's match does.
func hasDotSegment(path string) bool {
	return strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") ||
		strings.Contains(path, "/./") || strings.HasSuffix(path, "/.")
}
