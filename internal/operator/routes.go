package operator

import (
	"net/http"

	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"
)

// api answers the requests of the operator port.
type api struct {
	Parts
	peers    *peers
	requests tally.Counter
}

func newAPI(parts Parts) *api {
	return &api{
		Parts:    parts,
		peers:    newPeers(parts.Dialer),
		requests: parts.Scope.SubScope("operator").Counter("requests"),
	}
}

func (a *api) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: pathDocument, Handler: a.counted(a.document)},
		{Method: http.MethodPost, Path: pathChanges, Handler: a.counted(a.change)},
		{Method: http.MethodGet, Path: pathChanges + "/:id", Handler: a.counted(a.changeState)},
		{Method: http.MethodGet, Path: pathStatus, Handler: a.counted(a.status)},
		{Method: http.MethodGet, Path: pathHost, Handler: a.counted(a.ownHost)},
		{Method: http.MethodGet, Path: pathHost + "/:host", Handler: a.counted(a.host)},
		{Method: http.MethodGet, Path: pathEvents, Handler: a.counted(a.events)},
		{Method: http.MethodGet, Path: pathStops, Handler: a.counted(a.stops)},
		{Method: http.MethodGet, Path: pathMembers, Handler: a.counted(a.members)},
		{Method: http.MethodGet, Path: pathBurn, Handler: a.counted(a.burn)},
		{Method: http.MethodGet, Path: pathMetrics, Handler: a.Metrics.ServeHTTP},
	}
}

func (a *api) counted(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.requests.Inc(1)
		handler(w, r)
	}
}
