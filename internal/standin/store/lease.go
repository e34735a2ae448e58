package store

import "time"

// lease is a granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

func (l *lease) expired(now time.Time) bool { return !now.Before(l.expires) }

func (l *lease) renew(now time.Time) { l.expires = now.Add(l.ttl) }
