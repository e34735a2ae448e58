package proxy

import (
	"context"
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// overheadBytes is the approximate number of bytes that a request and the head of its
// response put on the link in addition to the body.
const overheadBytes = 800

// transmit sends the body of a response over the host's outgoing link, which
// schedules large ones. It reports whether the complete body was sent. One that is not
// in memory holds a slot of its server, so that it ends at the deadline even if the
// receiver reads nothing.
func transmit(ctx context.Context, w http.ResponseWriter, response *serverResponse, link *uplink.Link, deadline time.Time) bool {
	link.AddUnpaced(overheadBytes)
	if !response.buffered {
		controller := http.NewResponseController(w)
		if controller.SetWriteDeadline(deadline) != nil {
			return false
		}
		// After an error the connection is closed.
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	if response.length <= 0 {
		return copyBody(w, response)
	}
	if !link.IsLarge(response.length) {
		link.AddUnpaced(response.length)
		return copyBody(w, response)
	}
	// The head is sent at once, so that the receiver measures the round trip without
	// the wait for the link.
	if http.NewResponseController(w).Flush() != nil {
		return false
	}
	return link.Send(ctx, w, response.body, response.length) == nil
}
