package httpserver

import (
	"net"
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
	// ReadTimeout bounds the time for reading a complete request; 0 means no bound.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time for handling a request and sending its response; 0
	// means no bound.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection; 0 means
	// ReadTimeout.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int
	// CloseTimeout bounds the wait of Close for requests that have begun.
	CloseTimeout time.Duration
	// ConnState is called after each change of state of a connection; nil for none.
	ConnState func(net.Conn, http.ConnState)
}
