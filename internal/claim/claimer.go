// Package claim makes a non-idempotent call run at most once: a node claims the
// call's key in the store before it hands the call to a backend server.
//
// It owns the claims that are being written and the answers kept for repeats.
// When the store does not answer, no claim is granted and the call does not run.
package claim

import (
	"context"
	"time"
)

// Retention is how long a claim is kept at least, counted from the first
// attempt. A shard with few claims keeps them longer, until its head is sealed.
const Retention = 24 * time.Hour

// Claimer records claims in the store.
type Claimer interface {
	// Claim returns the claim in force for the key. The claim is won when the
	// returned ID is the requested one. An error means that the claim was not
	// recorded as far as is known; the caller must not run the call. At most one
	// of several requests with the same ID wins.
	Claim(ctx context.Context, wanted Claim) (Claim, error)
	// Release withdraws a won claim whose call did not run. With an error the
	// release may or may not be recorded.
	Release(ctx context.Context, won Claim) error
}
