package gossip

import (
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// counters counts messages, records and connections. Bytes are those of the encoded
// messages, without gRPC framing.
type counters struct {
	sentMessages     tally.Counter
	sentBytes        tally.Counter
	sentRecords      tally.Counter
	receivedMessages tally.Counter
	receivedBytes    tally.Counter
	failures         tally.Counter
	skipped          tally.Counter
	fullExchanges    tally.Counter
	connections      tally.Gauge
	evicted          tally.Counter
	invalid          tally.Counter
	storeCalls       tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	scope = scope.SubScope("gossip")
	return &counters{
		sentMessages:     scope.Counter("sent_messages"),
		sentBytes:        scope.Counter("sent_bytes"),
		sentRecords:      scope.Counter("sent_records"),
		receivedMessages: scope.Counter("received_messages"),
		receivedBytes:    scope.Counter("received_bytes"),
		failures:         scope.Counter("failed_exchanges"),
		skipped:          scope.Counter("skipped_exchanges"),
		fullExchanges:    scope.Counter("full_exchanges"),
		connections:      scope.Gauge("connections"),
		evicted:          scope.Counter("evicted_connections"),
		invalid:          scope.Counter("invalid_messages"),
		storeCalls:       scope.Counter("seed_store_calls"),
	}
}

func (c *counters) sent(message *controlpb.Gossip) {
	c.sentMessages.Inc(1)
	c.sentBytes.Inc(int64(proto.Size(message)))
	c.sentRecords.Inc(int64(len(message.GetRecords())))
}

func (c *counters) received(message *controlpb.Gossip) {
	c.receivedMessages.Inc(1)
	c.receivedBytes.Inc(int64(proto.Size(message)))
}
