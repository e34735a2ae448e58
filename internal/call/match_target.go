package call

import (
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/urlpath"
)

// matchTarget returns the URI to forward and the target of a call; no target when none
// matches. The error has the code result.BadRequest.
func matchTarget(snapshot *config.Snapshot, service string, r *http.Request) (uri string, target *config.Target, err error) {
	return urlpath.MatchRequest(r, func(path string) (*config.Target, string, bool) {
		target, found := snapshot.Match(service, r.Method, path)
		if !found {
			return nil, "", false
		}
		return target, target.Path, true
	})
}
