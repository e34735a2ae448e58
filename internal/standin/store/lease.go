package store

import "time"

// lease is a granted lease. A renewal restarts its TTL.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}
