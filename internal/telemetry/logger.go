// Package telemetry builds the logger and the metrics scope of a process.
//
// It owns the counters of the scope. The daemon logs only changes of state; the
// sidecar also logs a line for each decision about a request, through a writer that
// never blocks. Per-call events are counted.
package telemetry

import (
	"io"

	"github.com/sirupsen/logrus"
)

// LogFormat selects the encoding of log lines.
type LogFormat string

// The supported log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger that adds the name of the node to each line.
func NewLogger(out io.Writer, format LogFormat, level logrus.Level, node string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	if format == LogJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	} else {
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return logger.WithField("node", node)
}

// DiscardLogger returns a logger that writes nothing, for tests.
func DiscardLogger() *logrus.Entry {
	return NewLogger(io.Discard, LogText, logrus.PanicLevel, "")
}
