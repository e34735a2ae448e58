package store

import "time"

// lease is a granted lease.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}
