package claim

import (
	"context"
	"fmt"
)

// pendingRequest is a request that waits for its shard's writer.
type pendingRequest struct {
	request
	ctx context.Context
	// done receives exactly one outcome unless the request is cancelled.
	done chan outcome
	// maybeStored is set when a write of the request may have taken effect.
	maybeStored bool
	// lastError is that of the last failed write of the request; nil before.
	lastError error
}

// endError returns the error of a request whose context ended.
func (p *pendingRequest) endError() error {
	if p.lastError == nil {
		return p.ctx.Err()
	}
	return fmt.Errorf("%w; the last write failed: %w", p.ctx.Err(), p.lastError)
}

// estimatedBytes estimates the size of the request in the stored value.
func (p *pendingRequest) estimatedBytes() int {
	const fixedFields = 64
	return fixedFields + len(p.claim.Service) + len(p.claim.Key) + len(p.claim.Node) + len(p.claim.ID)
}
