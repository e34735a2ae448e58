package sidecar

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

const (
	// storeConns is the number of idle connections to the store: a watch and a call.
	storeConns = 2
	// idleConnTimeout closes connections that are used no more.
	idleConnTimeout = 30 * time.Second
	// bufferBytes is the size of a read or write buffer; most answers are small.
	bufferBytes = 4 << 10
)

func storeTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: storeConns,
		IdleConnTimeout: idleConnTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
}

// peerTransport keeps no connection: peers are asked only while something is
// wrong, and then an old connection may be silent.
func peerTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true}
}

// leaderTransport keeps the connection to the node that this one follows. A silent
// one ends with the question's time limit and is replaced.
func leaderTransport(dialer dial.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleConnTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}
}
