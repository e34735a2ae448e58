package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// defaultEventLimit is the maximum number of events in a response when the
	// query states none.
	defaultEventLimit = 100
	// maxEventLimit is the largest limit that a query may state.
	maxEventLimit = 1000
	// eventTimeout is the timeout of the request to one other host.
	eventTimeout = 2 * time.Second
)

// values returns the query as URL parameters.
func (q EventQuery) values() url.Values {
	values := url.Values{}
	values.Set("kind", string(q.Kind))
	values.Set("subject", q.Subject)
	values.Set("target", q.Target)
	values.Set("host", q.Host)
	values.Set("limit", strconv.Itoa(q.Limit))
	values.Set("fleet", strconv.FormatBool(q.Fleet))
	return values
}

func parseEventQuery(values url.Values) (EventQuery, error) {
	query := EventQuery{
		Kind:    event.Kind(values.Get("kind")),
		Subject: values.Get("subject"),
		Target:  values.Get("target"),
		Host:    values.Get("host"),
		Fleet:   values.Get("fleet") == "true",
		Limit:   defaultEventLimit,
	}
	if text := values.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 0 || limit > maxEventLimit {
			return EventQuery{}, result.Errorf(result.Usage, "parameter limit %q must be an integer from 0 to %d", text, maxEventLimit)
		}
		query.Limit = limit
	}
	if query.Limit == 0 {
		query.Limit = defaultEventLimit
	}
	return query, nil
}

// events responds with the events of this node, of one other host or of all nodes.
func (a *api) events(w http.ResponseWriter, r *http.Request) {
	query, err := parseEventQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, err)
		return
	}
	var response EventResponse
	switch {
	case query.Host != "" && query.Host != a.View().Self.ID:
		response = a.hostEvents(r.Context(), query)
	case query.Fleet:
		response = a.fleetEvents(r.Context(), query)
	default:
		response = a.localEvents(query)
	}
	if response.Truncated {
		a.counters.limitResponse.Inc(1)
	}
	writeJSON(w, http.StatusOK, response)
}

func (a *api) localEvents(query EventQuery) EventResponse {
	merger := newEventMerger(query.Limit)
	selected := event.Query{Kind: query.Kind, Subject: query.Subject, Target: query.Target, Limit: query.Limit + 1}
	merger.add(a.Events.Select(selected), false)
	return merger.response()
}

// hostEvents returns the events of one other host.
func (a *api) hostEvents(ctx context.Context, query EventQuery) EventResponse {
	record, found := a.View().Node(query.Host)
	if !found {
		return EventResponse{Events: []event.Event{}, Unreachable: []string{query.Host}}
	}
	query.Host, query.Fleet = "", false
	response, err := queryWithTimeout(ctx, eventTimeout, a.peers.client(record), func(ctx context.Context, client *Client) (EventResponse, error) {
		return client.Events(ctx, query)
	})
	if err != nil {
		return EventResponse{Events: []event.Event{}, Unreachable: []string{record.ID}}
	}
	return response
}

// fleetEvents returns the events of all nodes. Nodes that are suspect or dead are
// listed as unreachable without a request.
func (a *api) fleetEvents(ctx context.Context, query EventQuery) EventResponse {
	query.Fleet = false
	merger := newEventMerger(query.Limit)
	local := a.localEvents(query)
	merger.add(local.Events, local.Truncated)
	queried, unresponsive := a.otherNodes()
	merger.unreachable = unresponsive
	queryAll(ctx, a.peers, queried, eventTimeout, func(ctx context.Context, client *Client) (struct{}, error) {
		response, err := client.Events(ctx, query)
		merger.addResponse(client.host, response, err)
		return struct{}{}, nil
	})
	return merger.response()
}

// otherNodes returns the other nodes to query and the names of those that are
// suspect or dead.
func (a *api) otherNodes() (queried []member.Record, unresponsive []string) {
	view := a.View()
	for _, record := range view.Nodes() {
		switch {
		case record.ID == view.Self.ID || record.State == member.Left:
		case record.State == member.Suspect || record.State == member.Dead:
			unresponsive = append(unresponsive, record.ID)
		default:
			queried = append(queried, record)
		}
	}
	return queried, unresponsive
}
