package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
)

// api answers the requests of the operator port.
type api struct {
	Dependencies
	peers    *peers
	counters *counters
	// running holds a place for each request that is being answered.
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
		{Method: http.MethodGet, Path: pathDocument, Handler: a.bounded(a.document)},
		{Method: http.MethodPost, Path: pathChanges, Handler: a.bounded(a.change)},
		{Method: http.MethodGet, Path: pathChanges + "/:id", Handler: a.bounded(a.changeState)},
		{Method: http.MethodGet, Path: pathStatus, Handler: a.bounded(a.status)},
		{Method: http.MethodGet, Path: pathHost, Handler: a.bounded(a.ownHost)},
		{Method: http.MethodGet, Path: pathHost + "/:host", Handler: a.bounded(a.host)},
		{Method: http.MethodGet, Path: pathEvents, Handler: a.bounded(a.events)},
		{Method: http.MethodGet, Path: pathStops, Handler: a.bounded(a.stops)},
		{Method: http.MethodGet, Path: pathMembers, Handler: a.bounded(a.members)},
		{Method: http.MethodGet, Path: pathBurn, Handler: a.bounded(a.burn)},
		{Method: http.MethodGet, Path: pathMetrics, Handler: a.Metrics.ServeHTTP},
	}
}
