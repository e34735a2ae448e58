package store

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// maxIdleConns is how many idle connections to the store a node keeps: enough for
	// concurrent calls of one watch, the lease and the shards that it owns.
	maxIdleConns = 8
	// maxConns limits the connections of one node to the store.
	maxConns = 64
	// idleConnTimeout is how long a connection that a burst opened stays open unused.
	idleConnTimeout = 30 * time.Second
	// bufferBytes transfers the value of a shard of claims in fewer system calls than
	// the default of 4 KB.
	bufferBytes = 32 << 10
)

// NewTransport returns an HTTP transport for the store with buffers for large
// values.
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
