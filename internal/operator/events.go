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
	// defaultEventLimit is the number of events in an answer when the question
	// states none.
	defaultEventLimit = 100
	// maxEventLimit bounds the number of events in an answer.
	maxEventLimit = 1000
	// eventTimeout bounds the question to one other host.
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
			return EventQuery{}, result.Errorf(result.Usage, "parameter limit %q must be a number from 0 to %d", text, maxEventLimit)
		}
		query.Limit = limit
	}
	if query.Limit == 0 {
		query.Limit = defaultEventLimit
	}
	return query, nil
}

// events answers events of this node, of one other host or of all nodes.
func (a *api) events(w http.ResponseWriter, r *http.Request) {
	query, err := parseEventQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, err)
		return
	}
	var reply EventResponse
	switch {
	case query.Host != "" && query.Host != a.View().Self.ID:
		reply = a.hostEvents(r.Context(), query)
	case query.Fleet:
		reply = a.fleetEvents(r.Context(), query)
	default:
		reply = a.ownEvents(query)
	}
	if reply.Truncated {
		a.counters.limitAnswer.Inc(1)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *api) ownEvents(query EventQuery) EventResponse {
	merge := newEventMerge(query.Limit)
	selected := event.Query{Kind: query.Kind, Subject: query.Subject, Target: query.Target, Limit: query.Limit + 1}
	merge.add(a.Events.Select(selected), false)
	return merge.reply()
}

// hostEvents asks one other host.
func (a *api) hostEvents(ctx context.Context, query EventQuery) EventResponse {
	record, found := a.View().Node(query.Host)
	if !found {
		return EventResponse{Events: []event.Event{}, Unreachable: []string{query.Host}}
	}
	query.Host, query.Fleet = "", false
	reply, err := limited(ctx, eventTimeout, a.peers.client(record), func(ctx context.Context, client *Client) (EventResponse, error) {
		return client.Events(ctx, query)
	})
	if err != nil {
		return EventResponse{Events: []event.Event{}, Unreachable: []string{record.ID}}
	}
	return reply
}

// fleetEvents asks all nodes. Those that are suspect or dead are named as
// unreachable without being asked.
func (a *api) fleetEvents(ctx context.Context, query EventQuery) EventResponse {
	query.Fleet = false
	merge := newEventMerge(query.Limit)
	own := a.ownEvents(query)
	merge.add(own.Events, own.Truncated)
	asked, silent := a.others()
	merge.unreachable = silent
	askAll(ctx, a.peers, asked, eventTimeout, func(ctx context.Context, client *Client) (struct{}, error) {
		reply, err := client.Events(ctx, query)
		merge.addAnswer(client.host, reply, err)
		return struct{}{}, nil
	})
	return merge.reply()
}

// others returns the other nodes that answer and the names of those that are
// suspect or dead.
func (a *api) others() (asked []member.Record, silent []string) {
	view := a.View()
	for _, record := range view.Nodes() {
		switch {
		case record.ID == view.Self.ID || record.State == member.Left:
		case record.State == member.Suspect || record.State == member.Dead:
			silent = append(silent, record.ID)
		default:
			asked = append(asked, record)
		}
	}
	return asked, silent
}
