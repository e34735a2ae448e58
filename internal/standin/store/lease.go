package store

import "time"

// lease is a granted lease. Renewals extend it by its TTL.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}
