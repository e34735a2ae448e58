package relay

import "github.com/uber-go/tally/v4"

// metrics are the metrics of the configuration distribution.
type metrics struct {
	published      tally.Counter
	rejections     tally.Counter
	corrupted      tally.Counter
	staleReads     tally.Counter
	hashMismatches tally.Counter
	repairs        tally.Counter
	updatesSent    tally.Counter
	redirects      tally.Counter
	parentTimeouts tally.Counter
	storeReads     tally.Counter
	storeWatches   tally.Counter
	storeFailures  tally.Counter
	// restoredDocuments counts the documents written back to a restored store.
	restoredDocuments tally.Counter
	// limitsReached counts the items dropped because a limit was reached.
	limitsReached tally.Counter
	subscribers   tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		published:         scope.Counter("versions_published"),
		rejections:        scope.Counter("versions_rejected"),
		corrupted:         scope.Counter("updates_damaged"),
		staleReads:        scope.Counter("store_answers_outdated"),
		hashMismatches:    scope.Counter("hash_mismatches"),
		repairs:           scope.Counter("repairs"),
		updatesSent:       scope.Counter("updates_sent"),
		redirects:         scope.Counter("subscribers_redirected"),
		parentTimeouts:    scope.Counter("parents_silent"),
		storeReads:        scope.Counter("store_reads"),
		storeWatches:      scope.Counter("store_watches"),
		storeFailures:     scope.Counter("store_failures"),
		restoredDocuments: scope.Counter("restored_documents"),
		limitsReached:     scope.Counter("limits_reached"),
		subscribers:       scope.Gauge("subscribers"),
	}
}
