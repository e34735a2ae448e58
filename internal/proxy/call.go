package proxy

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// call is one request of a caller with the table and view that it uses from start
// to end.
type call struct {
	job     *job
	route   *routing.Route
	table   *routing.Table
	started time.Time
	budget  *retry.ServiceBudget

	excluded []string
	// attempts counts the sendings, arrivals those that may have reached a server.
	attempts, arrivals int
	// unknown is set once an attempt may have run.
	unknown bool
	choice  balance.Choice
}

// note counts what a refused attempt may have done.
func (c *call) note(refused *refusal) {
	c.unknown = c.unknown || !refused.notRun()
	if refused.arrived {
		c.arrivals++
	}
}
