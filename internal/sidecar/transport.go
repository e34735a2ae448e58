package sidecar

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// storeConns is the number of idle connections to the store: one for a watch and
	// one for a call.
	storeConns = 2
	// idleConnTimeout is the time after which unused connections are closed.
	idleConnTimeout = 30 * time.Second
	// bufferBytes is the size of a read or write buffer; most responses are small.
	bufferBytes = 4 << 10
)

func storeTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: storeConns,
		IdleConnTimeout: idleConnTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
}

// peerTransport does not reuse connections: peers are queried only during a fault,
// when an old connection may be unresponsive.
func peerTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true}
}

// leaderTransport keeps the connection to the node that this one follows. An
// unresponsive connection ends with the timeout of the request and is replaced.
func leaderTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleConnTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
}
