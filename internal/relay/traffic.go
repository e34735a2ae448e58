package relay

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"
)

// serviceTag is the metric tag that names the gRPC service.
const serviceTag = "service"

// Traffic counts the control messages and their bytes on the wire by gRPC
// service, without framing and connection overhead. Pass it to servers and
// clients as their stats handler.
type Traffic struct {
	scope tally.Scope
	// byService holds the *trafficCounters of each service.
	byService sync.Map
}

// services are the gRPC services of a node. All others are counted together, so
// that unknown names in requests cannot exhaust memory.
var services = []string{"Claims", "Distribution", "Explain", "Membership"}

// NewTraffic returns a handler that counts in the scope.
func NewTraffic(scope tally.Scope) *Traffic { return &Traffic{scope: scope.SubScope("control")} }

// trafficCounters are the counters of one service.
type trafficCounters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes tally.Counter
}

type trafficCountersKey struct{}

// TagRPC implements stats.Handler.
func (t *Traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	service := serviceOf(info.FullMethodName)
	counters, found := t.byService.Load(service)
	if !found {
		counters, _ = t.byService.LoadOrStore(service, t.newCounters(service))
	}
	return context.WithValue(ctx, trafficCountersKey{}, counters)
}

func (t *Traffic) newCounters(service string) *trafficCounters {
	scope := t.scope.Tagged(map[string]string{serviceTag: service})
	return &trafficCounters{
		sentMessages:     scope.Counter("messages_sent"),
		sentBytes:        scope.Counter("bytes_sent"),
		receivedMessages: scope.Counter("messages_received"),
		receivedBytes:    scope.Counter("bytes_received"),
	}
}

// HandleRPC implements stats.Handler.
func (t *Traffic) HandleRPC(ctx context.Context, event stats.RPCStats) {
	counters, ok := ctx.Value(trafficCountersKey{}).(*trafficCounters)
	if !ok {
		return
	}
	switch event := event.(type) {
	case *stats.OutPayload:
		counters.sentMessages.Inc(1)
		counters.sentBytes.Inc(int64(event.WireLength))
	case *stats.InPayload:
		counters.receivedMessages.Inc(1)
		counters.receivedBytes.Inc(int64(event.WireLength))
	}
}

// TagConn implements stats.Handler.
func (t *Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *Traffic) HandleConn(context.Context, stats.ConnStats) {}

// serviceOf returns the last part of the service name in
// "/package.Service/Method"; "other" for a service that is not listed in
// services.
func serviceOf(method string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(method, "/"), "/")
	name := service[strings.LastIndex(service, ".")+1:]
	if !slices.Contains(services, name) {
		return "other"
	}
	return name
}
