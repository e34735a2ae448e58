package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// hexBase is the number base in which content hashes are written.
const hexBase = 16

// document responds with the configuration that the node has in force.
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

// change applies a change, or previews it in a dry run. The response contains
// warnings about the change.
func (a *api) change(w http.ResponseWriter, r *http.Request) {
	request, err := decodeChange(r.Body)
	if err != nil {
		a.counters.countOversizedBody(err)
		writeProblem(w, err)
		return
	}
	response, err := a.forwardOrApply(r, request)
	if err != nil {
		writeProblem(w, err)
		return
	}
	response.Warnings = a.warnings(request.Change)
	writeJSON(w, http.StatusOK, response)
}

// forwardOrApply forwards the change to a node of the store's region, and applies
// it on this node when none there responds.
func (a *api) forwardOrApply(r *http.Request, request ChangeRequest) (ChangeResponse, error) {
	outcome := forward(r, a, func(ctx context.Context, client *Client) (ChangeResponse, error) {
		return client.Change(ctx, request)
	})
	if outcome.responded {
		return outcome.value, outcome.changeError(request)
	}
	response, err := a.applyOrPreview(r.Context(), request)
	outcome.err = err
	return response, outcome.changeError(request)
}

func (a *api) applyOrPreview(ctx context.Context, request ChangeRequest) (ChangeResponse, error) {
	if request.DryRun {
		return a.preview(ctx, request.Change)
	}
	outcome, err := a.Editor.Apply(ctx, request.Change)
	if err != nil {
		return ChangeResponse{}, err
	}
	if outcome.Snapshot != nil {
		a.OnAccepted(outcome.Snapshot)
	}
	return ChangeResponse{ChangeID: outcome.ChangeID, Version: outcome.Version, Unchanged: outcome.Unchanged}, nil
}

func (a *api) preview(ctx context.Context, change config.Change) (ChangeResponse, error) {
	before, after, err := a.Editor.Preview(ctx, change)
	if err != nil {
		return ChangeResponse{}, err
	}
	return ChangeResponse{
		ChangeID:    change.ID,
		Version:     after.Version(),
		Unchanged:   before.Version() == after.Version(),
		DryRun:      true,
		Differences: config.Diff(before, after),
	}, nil
}

// changeState responds whether the configuration contains a change. The store is
// read only when the version in force does not list the change.
func (a *api) changeState(w http.ResponseWriter, r *http.Request) {
	state, err := a.lookup(r, pathvar.Vars(r)["id"])
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

func (a *api) lookup(r *http.Request, id string) (ChangeState, error) {
	document := a.Snapshot().Document()
	if version, accepted := document.AppliedVersion(id); accepted {
		return ChangeState{ChangeID: id, Accepted: true, Version: version}, nil
	}
	outcome := forward(r, a, func(ctx context.Context, client *Client) (ChangeState, error) {
		return client.ChangeState(ctx, id)
	})
	if outcome.responded {
		return outcome.value, outcome.err
	}
	version, accepted, err := a.Editor.Lookup(r.Context(), id)
	return ChangeState{ChangeID: id, Accepted: accepted, Version: version}, err
}
