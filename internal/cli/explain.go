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

// timeFormat shows milliseconds, which order the events of one incident.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Observation is an event together with the nodes that recorded it.
type Observation struct {
	event.Event
	// Nodes are the nodes that recorded the same; Event holds the newest.
	Nodes []string `json:"nodes"`
}

// sameEventSpan is how far apart nodes may record the same change of state.
const sameEventSpan = 10 * time.Second

// condense joins what several nodes recorded of one change of state. The events
// are ordered newest first.
func condense(events []event.Event) []Observation {
	observations := []Observation{}
	for _, found := range events {
		i := slices.IndexFunc(observations, func(o Observation) bool { return o.covers(found) })
		if i < 0 {
			observations = append(observations, Observation{Event: found, Nodes: []string{found.Node}})
			continue
		}
		observations[i].Nodes = append(observations[i].Nodes, found.Node)
	}
	return observations
}

// covers reports whether another node recorded the same as the observation.
func (o Observation) covers(other event.Event) bool {
	return o.Kind == other.Kind && o.Subject == other.Subject && o.Message == other.Message &&
		o.At.Sub(other.At) < sameEventSpan && !slices.Contains(o.Nodes, other.Node)
}

func (c *command) askEvents(ctx context.Context, query operator.EventQuery) (operator.EventResponse, error) {
	return ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.EventResponse, error) {
		return client.Events(ctx, query)
	})
}

// printObservations writes events as a table, newest first.
func (c *command) printObservations(observations []Observation) {
	if len(observations) == 0 {
		c.line("no events are kept")
		return
	}
	var rows [][]string
	for _, o := range observations {
		rows = append(rows, []string{o.At.UTC().Format(timeFormat), string(o.Kind), o.Subject, o.Message + codeText(o.Code), nodesText(o.Nodes)})
	}
	c.table([]string{"TIME", "KIND", "SUBJECT", "WHAT", "SEEN BY"}, rows)
}

// codeText names a result code after a message; nothing for an event without.
func codeText(code result.Code) string {
	if code == result.OK {
		return ""
	}
	return fmt.Sprintf(" [%d %s]", code, result.Describe(code).Name)
}

// maxNodesShown bounds the nodes that a table names.
const maxNodesShown = 2

func nodesText(nodes []string) string {
	if len(nodes) > maxNodesShown {
		return fmt.Sprintf("%s and %d more", nodes[0], len(nodes)-1)
	}
	return strings.Join(nodes, ", ")
}

// unasked names the hosts whose events are missing.
func unasked(unreachable []string) string {
	if len(unreachable) == 0 {
		return ""
	}
	return "these hosts did not answer: " + strings.Join(unreachable, ", ")
}

// printMissing says what an answer does not cover.
func (c *command) printMissing(reply operator.EventResponse) {
	if reply.Truncated {
		c.line("older events are left out")
	}
	if text := unasked(reply.Unreachable); text != "" {
		c.line("%s", text)
	}
}
