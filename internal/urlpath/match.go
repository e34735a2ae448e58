package urlpath

import (
	"net/http"
	"strings"
)

// MatchRequest returns the URI to forward and the route that find selects for a request;
// the zero route when there is none. find and the error are those of Match and Parse.
func MatchRequest[R comparable](r *http.Request, find func(path string) (route R, prefix string, found bool)) (uri string, route R, err error) {
	target, err := Parse(r)
	if err != nil {
		return "", route, err
	}
	route, _, err = Match(target, find)
	return target.URI, route, err
}

// Match returns the route that find selects for a target; false when there is none.
// find returns the route of a path and its prefix. The error has the code
// result.BadRequest: another reading of the path belongs to another route. The matched
// prefix itself has one reading, because the operators have written it.
func Match[R comparable](t Target, find func(path string) (route R, prefix string, found bool)) (R, bool, error) {
	route, prefix, found := find(t.Path)
	if !found {
		prefix = ""
	}
	rest := t.Path[len(prefix):]
	for _, reading := range t.readings {
		text := prefix + reading.apply(rest)
		if reading.mergesSlashes && strings.HasSuffix(prefix, "/") {
			text = prefix + strings.TrimLeft(text[len(prefix):], "/")
		}
		if other, _, otherFound := find(text); otherFound != found || other != route {
			var none R
			return none, false, refuse("the path %q may be read as %q, which belongs to another route", t.Path, text)
		}
	}
	return route, found, nil
}
