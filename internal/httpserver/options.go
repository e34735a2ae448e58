package httpserver

import (
	"net/http"
	"time"
)

// Options configures a Server.
type Options struct {
	Handler http.Handler
	// Refusal is the response that is sent on a connection without a request before it
	// is closed; nil for none.
	Refusal []byte
	// ReadHeaderTimeout bounds the time for reading a request header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int
	// CloseTimeout bounds the wait of Close for requests that have begun.
	CloseTimeout time.Duration
}
