package operator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// hexBase is the base in which content hashes are shown.
const hexBase = 16

// document answers the configuration that the node has in force.
func (a *api) document(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.Snapshot()
	document := snapshot.Document()
	writeJSON(w, http.StatusOK, Document{
		Version: snapshot.Version(),
		Hash:    strconv.FormatUint(snapshot.Digest().Hash, hexBase),
		Targets: document.Targets,
		Stops:   document.Stops,
	})
}

// change applies a change, or previews it in a dry run.
func (a *api) change(w http.ResponseWriter, r *http.Request) {
	var request ChangeRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeProblem(w, result.Wrap(err, result.Usage, "the change is not valid JSON"))
		return
	}
	reply, err := a.applyOrPreview(r, request)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *api) applyOrPreview(r *http.Request, request ChangeRequest) (ChangeReply, error) {
	if request.DryRun {
		return a.preview(r, request.Change)
	}
	outcome, err := a.Editor.Apply(r.Context(), request.Change)
	if err != nil {
		return ChangeReply{}, err
	}
	if outcome.Snapshot != nil {
		a.Accepted(outcome.Snapshot)
	}
	return ChangeReply{ChangeID: outcome.ChangeID, Version: outcome.Version, Unchanged: outcome.Unchanged}, nil
}

func (a *api) preview(r *http.Request, change config.Change) (ChangeReply, error) {
	before, after, err := a.Editor.Preview(r.Context(), change)
	if err != nil {
		return ChangeReply{}, err
	}
	return ChangeReply{
		ChangeID:    change.ID,
		Version:     after.Version(),
		Unchanged:   before.Version() == after.Version(),
		DryRun:      true,
		Differences: config.Diff(before, after),
	}, nil
}

// changeState answers whether the stored configuration holds a change.
func (a *api) changeState(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	version, accepted, err := a.Editor.Lookup(r.Context(), id)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, ChangeState{ChangeID: id, Accepted: accepted, Version: version})
}
