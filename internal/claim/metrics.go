package claim

import "github.com/uber-go/tally/v4"

// metrics counts the store writes of the claims and the limits that they reach.
type metrics struct {
	// recorded counts claims and releases that were stored.
	recorded tally.Counter
	// headWrites counts successful writes of a shard's head.
	headWrites tally.Counter
	// failedWrites counts batches whose write failed; their requests wait for the next.
	failedWrites tally.Counter
	// failedChecks counts checks of idle shards that failed and are repeated.
	failedChecks tally.Counter
	conflicts    tally.Counter
	// readBacks counts writes without a response, whose outcome must be read back.
	readBacks tally.Counter
	sealed    tally.Counter
	// lostRecords counts records that the store has lost and that are written again.
	lostRecords tally.Counter
	// shardFull counts writes that failed because a shard reached its size limit.
	shardFull tally.Counter
	// queueFull counts requests refused because too many waited for a write.
	queueFull tally.Counter
	// unresponsiveOwners counts owners that did not acknowledge a request.
	unresponsiveOwners tally.Counter
	// directWrites counts requests that this node wrote itself because no owner
	// responded.
	directWrites tally.Counter
	// backgroundReleases counts queued releases of claims whose outcome was unknown.
	backgroundReleases tally.Counter
	// droppedReleases counts those dropped at the limits of age and number.
	droppedReleases tally.Counter
	// responsesRetained and responsesDropped count retained responses and those
	// that a size limit rejected or evicted.
	responsesRetained tally.Counter
	responsesDropped  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("claim")
	return &metrics{
		recorded:           scope.Counter("recorded"),
		headWrites:         scope.Counter("head_writes"),
		failedWrites:       scope.Counter("failed_writes"),
		failedChecks:       scope.Counter("failed_checks"),
		conflicts:          scope.Counter("conflicts"),
		readBacks:          scope.Counter("read_backs"),
		sealed:             scope.Counter("sealed"),
		lostRecords:        scope.Counter("lost_records"),
		shardFull:          scope.Counter("shard_full"),
		queueFull:          scope.Counter("queue_full"),
		unresponsiveOwners: scope.Counter("silent_owners"),
		directWrites:       scope.Counter("direct"),
		backgroundReleases: scope.Counter("abandoned"),
		droppedReleases:    scope.Counter("abandoned_dropped"),
		responsesRetained:  scope.Counter("answers_kept"),
		responsesDropped:   scope.Counter("answers_dropped"),
	}
}
