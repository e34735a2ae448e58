// Package claim provides at-most-once execution of non-idempotent calls: a node
// claims the idempotency key of a call in the store before it forwards the call to
// a backend server. Claims are records in sharded write-ahead logs; the owner of a
// shard writes them in batches with compare-and-swap.
//
// The package owns the claims that are being written and the responses retained
// for repeats. When the store does not respond, no claim is granted and the call
// does not run.
package claim

import (
	"context"
	"time"
)

// Retention is the minimum time for which a claim is kept, counted from the first
// attempt. A shard with few claims keeps them longer, until its head is sealed.
const Retention = 24 * time.Hour

// Claimer records claims in the store.
type Claimer interface {
	// Claim returns the claim in force for the key. The request was granted when
	// the returned ID is the requested one; at most one of several requests with
	// the same ID is granted. An error means that the claim is not known to be
	// recorded, so the caller must not run the call.
	Claim(ctx context.Context, requested Claim) (Claim, error)
	// Release releases a granted claim whose call did not run. After an error the
	// release may or may not be recorded.
	Release(ctx context.Context, granted Claim) error
}
