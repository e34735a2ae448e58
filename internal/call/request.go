package call

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// request is a call that passes through a node.
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
	// objective is when the call must complete to meet its latency objective.
	objective time.Time
	// attempt and depth are those that the caller stated; they default to 1 and
	// 0.
	attempt int
	depth   int
}

// hop returns the information that the inbound proxy gets about an attempt.
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
