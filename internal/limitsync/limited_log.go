package limitsync

import (
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
)

// limitedLog logs when a workspace goes beyond its rate limit, and when it is back within.
type limitedLog struct {
	log     *logrus.Entry
	limited tally.Gauge

	mu    sync.Mutex
	names map[string]bool
}

func (l *limitedLog) update(verdict ratelimit.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited.Update(float64(len(verdict.Shares)))
	current := make(map[string]bool, len(verdict.Shares))
	for _, share := range verdict.Shares {
		current[share.Workspace] = true
		if !l.names[share.Workspace] {
			l.log.WithFields(logrus.Fields{"workspace": share.Workspace, "fraction": share.Fraction}).Info("workspace is beyond its rate limit")
		}
	}
	for name := range l.names {
		if !current[name] {
			l.log.WithField("workspace", name).Info("workspace is within its rate limit again")
		}
	}
	l.names = current
}
