package operator

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.Fleet.Status(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (a *api) burn(w http.ResponseWriter, r *http.Request) {
	report, err := a.Fleet.Burn(r.Context())
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (a *api) ownHost(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Host())
}

// host describes any host of the fleet; another host is asked itself.
func (a *api) host(w http.ResponseWriter, r *http.Request) {
	name := pathvar.Vars(r)["host"]
	view := a.View()
	if name == view.Self.ID {
		a.ownHost(w, r)
		return
	}
	record, found := view.Node(name)
	if !found {
		writeProblem(w, result.Errorf(result.NotFound, "host %q is not a member of the fleet", name))
		return
	}
	report, err := a.peers.client(record).Host(r.Context(), "")
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, report)
}
