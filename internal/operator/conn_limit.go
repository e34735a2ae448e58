package operator

import (
	"net"
	"net/http"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// connLimit closes connections above the limit and counts them.
type connLimit struct {
	limit   int64
	refused tally.Counter
	open    atomic.Int64
}

// onStateChange is the ConnState hook of the HTTP server. A connection that it
// closes also reports its closed state later and is then no longer counted.
func (l *connLimit) onStateChange(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if l.open.Add(1) > l.limit {
			l.refused.Inc(1)
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}
