package proxy

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/urlpath"
)

// matchRoute returns the URI to forward and the route of a request; no route when none
// matches. The error has the code result.BadRequest.
func matchRoute(table *routing.Table, r *http.Request) (uri string, route *routing.Route, err error) {
	return urlpath.MatchRequest(r, func(path string) (*routing.Route, string, bool) {
		route, found := table.Match(r.Host, path)
		if !found {
			return nil, "", false
		}
		return route, route.Prefix, true
	})
}
