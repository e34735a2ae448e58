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
	request *upstreamRequest
	route   *routing.Route
	table   *routing.Table
	// workspace is nil for a request without a key.
	workspace *routing.Workspace
	started   time.Time
	// counted is set while the request counts against the rate limit of its workspace.
	counted bool
	// connection is the address of the caller, and waited how long the request waited for
	// the ones before it on that connection.
	connection  string
	waited      time.Duration
	retryBudget *retry.ServiceBudget

	excluded []string
	// attempts counts the attempts, deliveries those that may have reached a server.
	attempts, deliveries int
	// mayHaveRun is set once a failed attempt may have run.
	mayHaveRun bool
	choice     balance.Choice
}

// recordRefusal updates the state with the outcome of a failed attempt.
func (c *call) recordRefusal(refusal *refusalReason) {
	c.mayHaveRun = c.mayHaveRun || !refusal.notRun()
	if refusal.maybeDelivered {
		c.deliveries++
	}
}
