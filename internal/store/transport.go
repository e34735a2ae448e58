package store

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// maxIdleConns is how many idle connections to the store a node keeps: one
	// watch, the lease and the shards it owns at once.
	maxIdleConns = 8
	// maxConns bounds the connections of one node to the store.
	maxConns = 64
	// idleConnTimeout closes connections that a burst left behind.
	idleConnTimeout = 30 * time.Second
	// bufferBytes holds a claims value in fewer system calls than the default
	// of 4 KB.
	bufferBytes = 32 << 10
)

// NewTransport returns the connections of a node that writes large values.
func NewTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	}
}
