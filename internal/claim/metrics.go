package claim

import "github.com/uber-go/tally/v4"

// metrics count what the claims cost and which limits they hit.
type metrics struct {
	// recorded counts claims and releases that were stored.
	recorded tally.Counter
	// headWrites counts successful writes of a shard's head.
	headWrites tally.Counter
	conflicts  tally.Counter
	// readBacks counts writes whose answer was lost.
	readBacks tally.Counter
	sealed    tally.Counter
	// shardFull counts writes refused because a shard reached its size limit.
	shardFull tally.Counter
	// queueFull counts requests refused because too many waited for a write.
	queueFull tally.Counter
	// unresponsiveOwners counts owners that did not acknowledge a request.
	unresponsiveOwners tally.Counter
	// directWrites counts requests that this node wrote itself because no owner
	// answered.
	directWrites tally.Counter
	// backgroundReleases counts releases of claims whose outcome was unknown.
	backgroundReleases tally.Counter
	// droppedReleases counts those given up because of the bounds.
	droppedReleases tally.Counter
	// responsesRetained and answersDropped count kept answers and those that the
	// bounds refused or evicted.
	responsesRetained tally.Counter
	responsesDropped  tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("claim")
	return &metrics{
		recorded:           scope.Counter("recorded"),
		headWrites:         scope.Counter("head_writes"),
		conflicts:          scope.Counter("conflicts"),
		readBacks:          scope.Counter("read_backs"),
		sealed:             scope.Counter("sealed"),
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
