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

// Adapter is what a node needs of the platform that it runs on.
type Adapter struct {
	Vocabulary proxy.HeaderNames
	// ConfigurationKey, EntriesPrefix and WatchPrefix are keys of the store.
	ConfigurationKey string
	EntriesPrefix    string
	WatchPrefix      string
	// DecodeConfiguration reads the operators' configuration.
	DecodeConfiguration func([]byte) (*routing.Table, error)
	// NewStore returns the client of the store at an address.
	NewStore func(address string, transport http.RoundTripper, scope tally.Scope) registry.Store
	// AnnouncementHandler returns the handler that the backend server announces itself to.
	AnnouncementHandler func(tracker *instance.Tracker, log *logrus.Entry, scope tally.Scope) http.Handler
	// ReadinessHandler returns the handler that tells whether the node takes requests.
	ReadinessHandler func(ready func() bool) http.Handler
}
