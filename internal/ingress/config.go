package ingress

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Config holds the handler and the limits of a server.
type Config struct {
	Handler http.Handler
	// Reject writes the response to a request that can't be handled.
	Reject func(w http.ResponseWriter, status int, code result.Code, message string)
	// Idempotent reports whether a request may run beside other requests of its
	// connection.
	Idempotent func(*http.Request) bool
	// Limits returns the limits in force; nil before the first configuration.
	Limits func() *routing.Limits
	// MaxConns is the number of open connections from which those whose callers have
	// been silent for longest are ended to make room for new ones.
	MaxConns int
	// MaxIncompleteHeadBytes bounds the buffers of the heads that are being read, over all
	// connections. Heads of up to 2 KB don't count. A head without room is refused.
	MaxIncompleteHeadBytes int
	// MaxPipelined is the number of requests of a connection that run side by side.
	MaxPipelined int
	// MaxBufferedBytes bounds the responses of a connection that wait in memory for
	// an earlier one, together.
	MaxBufferedBytes int
	// WriteTimeout is how long a caller may accept no byte of a response.
	WriteTimeout time.Duration
	// LingerTimeout is how long a connection stays open for reading after the last
	// response, so that a reset does not destroy it.
	LingerTimeout time.Duration
	// IdleLimitNotice is how long callers may still go by the previous idle limit after
	// it was lowered, since they learn of the change later than the server.
	IdleLimitNotice time.Duration
	// Now is the clock of ReceivedAt.
	Now   func() time.Time
	Log   *logrus.Entry
	Scope tally.Scope
}

// DefaultConfig returns the defaults. The caller sets the functions, Log and Scope.
func DefaultConfig() Config {
	return Config{
		MaxConns:               2048,
		MaxIncompleteHeadBytes: 2 << 20,
		MaxPipelined:           8,
		MaxBufferedBytes:       1 << 20,
		WriteTimeout:           15 * time.Second,
		LingerTimeout:          3 * time.Second,
		IdleLimitNotice:        3 * time.Second,
		Now:                    time.Now,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	if c.Handler == nil || c.Reject == nil || c.Idempotent == nil || c.Limits == nil || c.Now == nil || c.Log == nil || c.Scope == nil {
		return errors.New("ingress: Handler, Reject, Idempotent, Limits, Now, Log and Scope must be set")
	}
	for _, field := range []struct {
		key   string
		value int64
	}{
		{"MaxConns", int64(c.MaxConns)},
		{"MaxIncompleteHeadBytes", int64(c.MaxIncompleteHeadBytes)},
		{"MaxPipelined", int64(c.MaxPipelined)},
		{"MaxBufferedBytes", int64(c.MaxBufferedBytes)},
		{"WriteTimeout", int64(c.WriteTimeout)},
		{"LingerTimeout", int64(c.LingerTimeout)},
		{"IdleLimitNotice", int64(c.IdleLimitNotice)},
	} {
		if field.value <= 0 {
			return errors.Errorf("ingress: %s %d must be above 0", field.key, field.value)
		}
	}
	return nil
}

// defaultLimits apply while no configuration is known.
var defaultLimits = routing.Limits{HeaderBytes: 64 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}

func (c Config) limits() routing.Limits {
	if limits := c.Limits(); limits != nil {
		return *limits
	}
	return defaultLimits
}
