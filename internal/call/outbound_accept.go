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

// Limits of the values in the headers of a caller.
const (
	maxKeyBytes = 128
	maxAttempt  = 1000
	// maxDepth is well above the 26 levels of nested calls that today's
	// services reach, and still ends a loop of services that call each other.
	maxDepth = 64
)

// accept validates the call of a caller and reads its body. The call is nil
// when it is refused before a target is found.
func (o *outbound) accept(w http.ResponseWriter, r *http.Request, id string) (*outboundCall, *refusal) {
	now := o.deps.Now()
	call := &outboundCall{snapshot: o.deps.Snapshots.Load(), view: o.deps.View(), started: now}
	if call.snapshot == nil || call.snapshot.Version() == 0 || call.view == nil {
		return nil, refuse(result.NodeNotReady, "the node does not hold a configuration yet")
	}
	service := serviceOf(r.Host)
	uri, target, err := matchTarget(call.snapshot, service, r)
	if err != nil {
		return nil, refuseError(err, result.BadRequest)
	}
	if target == nil {
		return nil, refuse(result.NoTarget, fmt.Sprintf("no target of service %q matches %s %s", service, r.Method, r.URL.Path))
	}
	call.target = target
	call.request = &request{
		id: id, service: service, method: r.Method, uri: uri, header: r.Header,
		key: r.Header.Get(HeaderKey), atMostOnce: !target.Idempotent, priority: target.Priority,
	}
	if refusal := o.checkHeaders(call, r, now); refusal != nil {
		return call, refusal
	}
	body, refusal := readRequestBody(w, r, call.request.deadline, call.request.atMostOnce, o.config, o.metrics)
	call.request.body = body
	return call, refusal
}

// checkHeaders validates the idempotency key and sets the deadline, the
// objective, the attempt and the depth of the request.
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

// intHeader returns the value of a numeric header, or fallback when the header
// is absent. It refuses a value outside the given range.
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

// serviceOf returns the service named by a Host header, without the port.
func serviceOf(host string) string {
	if !strings.Contains(host, ":") {
		return host
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
