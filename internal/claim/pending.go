package claim

import "context"

// pending is a request that waits for its shard's writer.
type pending struct {
	request
	ctx context.Context
	// answered takes exactly one outcome, unless the request was given up.
	answered chan outcome
	// uncertain is set when a write that held the request may have taken effect.
	uncertain bool
}

// bytes estimates what the request adds to the stored value.
func (p *pending) bytes() int {
	const fixedFields = 64
	return fixedFields + len(p.claim.Service) + len(p.claim.Key) + len(p.claim.Node) + len(p.claim.ID)
}
