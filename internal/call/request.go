package call

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// request is one call on its way through a node.
type request struct {
	id      string
	service string
	method  string
	// uri is the path and the query as the caller sent them.
	uri    string
	header http.Header
	body   *exchange.Body
	key    string
	// atMostOnce is set for a non-idempotent call.
	atMostOnce bool
	priority   config.Priority
	deadline   time.Time
	// objective is when the call should be answered to meet its latency objective.
	objective time.Time
	// attempt and depth are what the caller stated, or 1 and 0.
	attempt int
	depth   int
}

// hop returns what a gate is told about an attempt.
func (r *request) hop(now time.Time, attempt int) hop {
	return hop{
		id:         r.id,
		remaining:  r.deadline.Sub(now),
		objective:  r.objective.Sub(now),
		priority:   r.priority,
		atMostOnce: r.atMostOnce,
		attempt:    r.attempt + attempt - 1,
		depth:      r.depth,
	}
}
