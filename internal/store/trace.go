package store

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// sentTrace records whether a request got a connection. Without one, no byte of
// the request can have reached the store.
type sentTrace struct {
	connected atomic.Bool
}

func (s *sentTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// classify returns ErrNotSent or ErrUnavailable with the cause in the message.
func (s *sentTrace) classify(cause error) error {
	if s.connected.Load() {
		return errors.Wrap(ErrUnavailable, cause.Error())
	}
	return errors.Wrap(ErrNotSent, cause.Error())
}
