package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// timeFormat includes milliseconds, which are needed to order the events of one
// incident.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Observation is an event together with the nodes that recorded it.
type Observation struct {
	event.Event
	// Nodes lists the nodes that recorded the event; Event is the newest record.
	Nodes []string `json:"nodes"`
}

// sameEventWindow is the maximum time between the records of the same state
// change by different nodes.
const sameEventWindow = 10 * time.Second

// groupEvents groups the records of the same state change by several nodes. The
// events and the result are ordered newest first.
func groupEvents(events []event.Event) []Observation {
	observations := []Observation{}
	for _, e := range events {
		i := slices.IndexFunc(observations, func(o Observation) bool { return o.matches(e) })
		if i < 0 {
			observations = append(observations, Observation{Event: e, Nodes: []string{e.Node}})
			continue
		}
		observations[i].Nodes = append(observations[i].Nodes, e.Node)
	}
	return observations
}

// matches reports whether other is a record of the same state change by another
// node.
func (o Observation) matches(other event.Event) bool {
	return o.Kind == other.Kind && o.Subject == other.Subject && o.Message == other.Message &&
		o.At.Sub(other.At) < sameEventWindow && !slices.Contains(o.Nodes, other.Node)
}

func (c *command) fetchEvents(ctx context.Context, query operator.EventQuery) (operator.EventResponse, error) {
	return queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.EventResponse, error) {
		return client.Events(ctx, query)
	})
}

// printObservations prints events as a table, newest first.
func (c *command) printObservations(observations []Observation) {
	if len(observations) == 0 {
		c.line("no events are recorded")
		return
	}
	var rows [][]string
	for _, o := range observations {
		rows = append(rows, []string{o.At.UTC().Format(timeFormat), string(o.Kind), o.Subject, o.Message + codeText(o.Code), nodesText(o.Nodes)})
	}
	c.table([]string{"TIME", "KIND", "SUBJECT", "WHAT", "SEEN BY"}, rows)
}

// codeText returns the suffix of a message that names its result code, or "" for
// the code OK.
func codeText(code result.Code) string {
	if code == result.OK {
		return ""
	}
	return fmt.Sprintf(" [%d %s]", code, result.Describe(code).Name)
}

// maxNodesShown is the maximum number of nodes that a table cell lists.
const maxNodesShown = 2

func nodesText(nodes []string) string {
	if len(nodes) > maxNodesShown {
		return fmt.Sprintf("%s and %d more", nodes[0], len(nodes)-1)
	}
	return strings.Join(nodes, ", ")
}

// unreachableText returns a sentence that lists the hosts whose events are
// missing, or "" when there are none.
func unreachableText(unreachable []string) string {
	if len(unreachable) == 0 {
		return ""
	}
	return "these hosts did not respond: " + strings.Join(unreachable, ", ")
}

// printGaps prints whether older events or the events of hosts are missing from a
// response.
func (c *command) printGaps(response operator.EventResponse) {
	if response.Truncated {
		c.line("older events are omitted")
	}
	if text := unreachableText(response.Unreachable); text != "" {
		c.line("%s", text)
	}
}
