package proxy

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// call is one request of a caller and the state of its attempts. It uses the same
// routing table from start to end.
type call struct {
	job     *job
	route   *routing.Route
	table   *routing.Table
	started time.Time
	budget  *retry.ServiceBudget

	excluded []string
	// attempts counts the attempts, deliveries those that may have reached a server.
	attempts, arrivals int
	// mayHaveRun is set once a failed attempt may have run.
	unknown bool
	choice  balance.Choice
}

// recordRefusal updates the state with the outcome of a failed attempt.
func (c *call) note(refused *refusal) {
	c.unknown = c.unknown || !refused.notRun()
	if refused.arrived {
		c.arrivals++
	}
}
