package operator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
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
	values.Set("limit", strconv.Itoa(q.Limit))
	values.Set("fleet", strconv.FormatBool(q.Fleet))
	return values
}

func parseEventQuery(values url.Values) (EventQuery, error) {
	query := EventQuery{Kind: event.Kind(values.Get("kind")), Subject: values.Get("subject"), Limit: defaultEventLimit}
	query.Fleet = values.Get("fleet") == "true"
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

// events answers events of this node or of all nodes that are alive.
func (a *api) events(w http.ResponseWriter, r *http.Request) {
	query, err := parseEventQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, err)
		return
	}
	reply := EventReply{Events: a.Events.Select(event.Query{Kind: query.Kind, Subject: query.Subject, Limit: query.Limit})}
	if query.Fleet {
		reply = a.fleetEvents(r.Context(), query, reply)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *api) fleetEvents(ctx context.Context, query EventQuery, own EventReply) EventReply {
	query.Fleet = false
	view := a.View()
	others := slices.DeleteFunc(slices.Clone(view.Nodes()), func(record member.Record) bool {
		return record.ID == view.Self.ID || record.State != member.Alive
	})
	answers := askAll(ctx, a.peers, others, eventTimeout, func(ctx context.Context, client *Client) (EventReply, error) {
		return client.Events(ctx, query)
	})
	for _, answer := range answers {
		if answer.err != nil {
			own.Unreachable = append(own.Unreachable, answer.host)
			continue
		}
		own.Events = append(own.Events, answer.value.Events...)
	}
	slices.SortStableFunc(own.Events, func(a, b event.Event) int { return b.At.Compare(a.At) })
	own.Events = own.Events[:min(len(own.Events), query.Limit)]
	return own
}
