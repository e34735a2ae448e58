package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two flushes of buffered metrics to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope of a process and the HTTP handler that exposes it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope that is exposed in the Prometheus text format.
func NewMetrics(tags map[string]string) *Metrics {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "rosemaryladder",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the buffered metrics and stops the scope.
func (m *Metrics) Close() error { return m.closer.Close() }
