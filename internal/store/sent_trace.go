package store

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// SentTrace records whether a request obtained a connection. Without one, no byte of
// the request can have reached the store.
type SentTrace struct {
	connected atomic.Bool
}

// Attach returns a context whose requests are recorded by the trace.
func (s *SentTrace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// Classify returns ErrNotSent or, if the request obtained a connection,
// ErrUnavailable, each with the cause in the message.
func (s *SentTrace) Classify(cause error) error {
	if s.connected.Load() {
		return errors.Wrap(ErrUnavailable, cause.Error())
	}
	return errors.Wrap(ErrNotSent, cause.Error())
}
