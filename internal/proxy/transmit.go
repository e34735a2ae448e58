package proxy

import (
	"context"
	"net/http"

	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// headBytes is about what the head of an answer and the request that led to it put
// on the link beside the body.
const headBytes = 800

// transmit sends the body of an answer over the link of the host, a large one in
// its turn. It reports whether the whole body was sent.
func transmit(ctx context.Context, w http.ResponseWriter, found *answer, link *uplink.Link) bool {
	link.AddUnpaced(headBytes)
	if found.length <= 0 {
		return copyBody(w, found)
	}
	if !link.IsLarge(found.length) {
		link.AddUnpaced(found.length)
		return copyBody(w, found)
	}
	// The head leaves at once, so that the reader measures the round trip without
	// the wait for the link.
	if http.NewResponseController(w).Flush() != nil {
		return false
	}
	return link.Send(ctx, w, found.body, found.length) == nil
}
