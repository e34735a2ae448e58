package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// api handles the requests of the operator port.
type api struct {
	Dependencies
	peers    *peers
	counters *counters
	// running is a semaphore with one element for each request being handled.
	running chan struct{}
}

func newAPI(deps Dependencies) *api {
	return &api{
		Dependencies: deps,
		peers:        newPeers(deps.Dialer),
		counters:     newCounters(deps.Scope),
		running:      make(chan struct{}, maxRequests),
	}
}

func (a *api) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: pathDocument, Handler: a.withLimits(a.document)},
		{Method: http.MethodPost, Path: pathChanges, Handler: a.withLimits(a.change)},
		{Method: http.MethodGet, Path: pathChanges + "/:id", Handler: a.withLimits(a.changeState)},
		{Method: http.MethodGet, Path: pathStatus, Handler: a.withLimits(a.status)},
		{Method: http.MethodGet, Path: pathHost, Handler: a.withLimits(a.localHost)},
		{Method: http.MethodGet, Path: pathHost + "/:host", Handler: a.withLimits(a.host)},
		{Method: http.MethodGet, Path: pathEvents, Handler: a.withLimits(a.events)},
		{Method: http.MethodGet, Path: pathStops, Handler: a.withLimits(a.stops)},
		{Method: http.MethodGet, Path: pathMembers, Handler: a.withLimits(a.members)},
		{Method: http.MethodGet, Path: pathBurn, Handler: a.withLimits(a.burn)},
		{Method: http.MethodGet, Path: pathMetrics, Handler: a.Metrics.ServeHTTP},
	}
}
