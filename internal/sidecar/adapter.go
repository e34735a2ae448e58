package sidecar

import (
	"net/http"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/proxy"
	"rosemaryladder.dev/rosemaryladder/internal/registry"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Adapter is what a node needs from the platform on which it runs.
type Adapter struct {
	HeaderNames proxy.HeaderNames
	// ConfigurationKey, EntriesPrefix and WatchPrefix are keys and key prefixes of
	// the store.
	ConfigurationKey string
	EntriesPrefix    string
	WatchPrefix      string
	// DecodeConfiguration decodes the operators' configuration.
	DecodeConfiguration func([]byte) (*routing.Table, error)
	// NewStore returns a client of the store at an address.
	NewStore func(address string, transport http.RoundTripper, log *logrus.Entry, scope tally.Scope) registry.Store
	// AnnouncementHandler returns the handler for the announcements of the backend
	// server at an address.
	AnnouncementHandler func(tracker *instance.Tracker, address string, log *logrus.Entry, scope tally.Scope) http.Handler
	// ReadinessHandler returns the handler of the readiness checks of the node.
	ReadinessHandler func(ready func() bool) http.Handler
}
