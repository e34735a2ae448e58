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
	// silentOwners counts owners that did not acknowledge a request.
	silentOwners tally.Counter
	// direct counts requests that this node wrote itself because no owner
	// answered.
	direct tally.Counter
	// abandoned counts releases of claims whose outcome was unknown.
	abandoned tally.Counter
	// abandonedDropped counts those given up because of the bounds.
	abandonedDropped tally.Counter
	// answersKept and answersDropped count kept answers and those that the
	// bounds refused or evicted.
	answersKept    tally.Counter
	answersDropped tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("claim")
	return &metrics{
		recorded:         scope.Counter("recorded"),
		headWrites:       scope.Counter("head_writes"),
		conflicts:        scope.Counter("conflicts"),
		readBacks:        scope.Counter("read_backs"),
		sealed:           scope.Counter("sealed"),
		shardFull:        scope.Counter("shard_full"),
		queueFull:        scope.Counter("queue_full"),
		silentOwners:     scope.Counter("silent_owners"),
		direct:           scope.Counter("direct"),
		abandoned:        scope.Counter("abandoned"),
		abandonedDropped: scope.Counter("abandoned_dropped"),
		answersKept:      scope.Counter("answers_kept"),
		answersDropped:   scope.Counter("answers_dropped"),
	}
}
