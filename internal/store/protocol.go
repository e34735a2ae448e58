package store

import "time"

// The HTTP protocol of the platform's store.
const (
	// KeysPath is the path of a key, followed by the key.
	KeysPath = "/v1/keys/"
	// LeasesPath is the path of a lease, followed by its id.
	LeasesPath = "/v1/leases/"
	// RevisionHeader carries the revision of a value.
	RevisionHeader = "Store-Revision"
	// LeaseHeader carries the id of a granted lease.
	LeaseHeader = "Store-Lease"

	// QueryNewer asks for a value only when its revision is above the given one.
	QueryNewer = "newer"
	// QueryWait makes a read with QueryNewer wait for the value.
	QueryWait = "wait"
	// QueryExpected is the revision that a write expects.
	QueryExpected = "expected"
	// QueryLease binds a written key to a lease.
	QueryLease = "lease"
	// QueryTTL is the time to live of a new lease in milliseconds.
	QueryTTL = "ttl_ms"
)

// MaxWatch is how long the store lets one watch wait before it answers that
// nothing changed.
const MaxWatch = 30 * time.Second
