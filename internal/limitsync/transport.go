package limitsync

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// maxMessageBytes bounds a message: ten thousand workspaces in one report.
const maxMessageBytes = 2 << 20

// send sends a report to another node and returns its verdict.
func (e *Exchanger) send(ctx context.Context, target fleet.Entry, q question) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return answer{}, errors.Wrap(err, "encode a report")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.InboundAddress+Path, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrapf(err, "report to node %s", target.Node)
	}
	response, err := e.deps.Client.Do(request)
	if err != nil {
		return answer{}, errors.Wrapf(err, "report to node %s", target.Node)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{}, errors.Errorf("node %s responded to a report with status %d, expected %d", target.Node, response.StatusCode, http.StatusOK)
	}
	var a answer
	err = json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&a)
	return a, errors.Wrapf(err, "decode the verdict of node %s", target.Node)
}

// ServeHTTP takes the report of another node.
func (e *Exchanger) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		http.Error(w, "a report is sent with POST", http.StatusMethodNotAllowed)
		return
	}
	var q question
	if err := json.NewDecoder(io.LimitReader(request.Body, maxMessageBytes)).Decode(&q); err != nil || q.Report.Source == "" || q.Report.Nodes < 1 {
		e.deps.Log.WithField("peer", request.RemoteAddr).Warn("invalid report of usage rejected")
		http.Error(w, "the report can't be decoded, or lacks its source or number of nodes", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.answer(q)); err != nil {
		e.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Info("failed to send a verdict")
	}
}

func (e *Exchanger) answer(q question) answer {
	now := e.deps.Now()
	if q.Total {
		return answer{Verdict: e.allocate(now, q.Report)}
	}
	e.aggregator.Add(now, q.Report)
	verdict, age := e.aggregator.Verdict(now)
	return answer{Verdict: verdict, AgeMs: age.Milliseconds() + 1}
}
