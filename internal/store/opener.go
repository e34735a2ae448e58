package store

import (
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Opener returns a connection to the store at an address.
type Opener func(address string, transport http.RoundTripper, log *logrus.Entry, scope tally.Scope) Connection
