package proxy

import (
	"context"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// overheadBytes is the approximate number of bytes that a request and the head of its
// response put on the link in addition to the body.
const headBytes = 800

// transmit sends the body of a response over the host's outgoing link, which
// schedules large ones. It reports whether the complete body was sent.
func transmit(ctx context.Context, w http.ResponseWriter, found *answer, link *uplink.Link) bool {
	link.Count(headBytes)
	if found.length <= 0 {
		return copyBody(w, found)
	}
	if !link.IsLarge(found.length) {
		link.Count(found.length)
		return copyBody(w, found)
	}
	// The head is sent at once, so that the receiver measures the round trip without
	// the wait for the link.
	if http.NewResponseController(w).Flush() != nil {
		return false
	}
	return link.Send(ctx, w, found.body, found.length) == nil
}
