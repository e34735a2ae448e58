package relay

import "github.com/uber-go/tally/v4"

// counters are the metrics of the distribution.
type counters struct {
	published     tally.Counter
	rejections    tally.Counter
	damaged       tally.Counter
	outdated      tally.Counter
	mismatches    tally.Counter
	repairs       tally.Counter
	updates       tally.Counter
	redirects     tally.Counter
	silences      tally.Counter
	storeReads    tally.Counter
	storeWatches  tally.Counter
	storeFailures tally.Counter
	// limits counts what was left out because a bound was reached.
	limits      tally.Counter
	subscribers tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		published:     scope.Counter("versions_published"),
		rejections:    scope.Counter("versions_rejected"),
		damaged:       scope.Counter("updates_damaged"),
		outdated:      scope.Counter("store_answers_outdated"),
		mismatches:    scope.Counter("hash_mismatches"),
		repairs:       scope.Counter("repairs"),
		updates:       scope.Counter("updates_sent"),
		redirects:     scope.Counter("subscribers_redirected"),
		silences:      scope.Counter("parents_silent"),
		storeReads:    scope.Counter("store_reads"),
		storeWatches:  scope.Counter("store_watches"),
		storeFailures: scope.Counter("store_failures"),
		limits:        scope.Counter("limits_reached"),
		subscribers:   scope.Gauge("subscribers"),
	}
}
