package store

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// maxIdleConns is how many idle connections to the store a node keeps: one
	// watch, the lease and the shards it owns at once.
	maxIdleConns = 8
	// maxConns bounds the connections of one node to the store.
	maxConns = 64
	// idleTimeout closes connections that a burst left behind.
	idleTimeout = 30 * time.Second
	// bufferBytes holds a claims value in fewer system calls than the default
	// of 4 KB.
	bufferBytes = 32 << 10
)

// Options configure the HTTP client.
type Options struct {
	// Address is the store's IP and port.
	Address string
	// Timeout bounds one call, watches excepted.
	Timeout time.Duration
}

// Validate returns an error that names the invalid option and its value.
func (o Options) Validate() error {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return errors.Errorf("store address %q is not an IP address and a port", o.Address)
	}
	if o.Timeout <= 0 {
		return errors.Errorf("store timeout %v is not above 0", o.Timeout)
	}
	return nil
}

func (o Options) transport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	}
}
