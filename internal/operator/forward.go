package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// forwardedHeader marks a request that another node passed on; it is answered
	// where it arrives.
	forwardedHeader = "Rosemaryladder-Forwarded"
	// maxForwards bounds the nodes of the store's region that are tried.
	maxForwards = 3
	// forwardTimeout bounds one try. All tries together leave a third of
	// requestTimeout for the node's own write.
	forwardTimeout = 2 * time.Second
)

// forwardOutcome is the outcome of passing a request on to the store's region.
type forwardOutcome[T any] struct {
	value T
	err   error
	// responded is set when a node of the store's region gave the final answer.
	responded bool
	// lost is set when a try was sent and its answer did not come back. The node
	// that took it may still act on it.
	lost bool
}

// forward passes a request on to a node of the store's region, so that the whole
// document does not cross the link between the regions. A request that was
// passed on already is not forwarded again.
func forward[T any](r *http.Request, a *api, send func(context.Context, *Client) (T, error)) forwardOutcome[T] {
	var outcome forwardOutcome[T]
	if r.Header.Get(forwardedHeader) != "" {
		return outcome
	}
	for _, record := range storeRegionNodes(a.View(), a.StoreRegion) {
		client := a.peers.client(record)
		client.forwarded = true
		outcome.value, outcome.err = askWithTimeout(r.Context(), forwardTimeout, client, send)
		if result.CodeOf(outcome.err) != result.NodeUnreachable {
			outcome.responded = true
			a.counters.forwarded.Inc(1)
			return outcome
		}
		outcome.lost = outcome.lost || MayHaveRun(outcome.err)
		a.counters.forwardFailures.Inc(1)
	}
	return outcome
}

// askWithTimeout asks one node within a time limit.
func askWithTimeout[T any](ctx context.Context, limit time.Duration, client *Client, ask func(context.Context, *Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return ask(ctx, client)
}

// changeError returns the error of a change. After a lost answer only an acceptance is
// certain: the node that took the change may still make it.
func (f forwardOutcome[T]) changeError(request ChangeRequest) error {
	if f.err == nil || !f.lost || request.DryRun {
		return f.err
	}
	id := request.Change.ID
	return result.Wrap(f.err, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown, because a node that took it did not answer; ask again with this id", id)
}

// storeRegionNodes returns the nodes to try for a request that concerns the store: the
// reader of the store's region first. It returns none to a node of that region
// and while the region is unreachable.
func storeRegionNodes(view *member.View, region string) []member.Record {
	if view.Self.Region == region || !view.RegionReachable(region) {
		return nil
	}
	var candidates []member.Record
	for _, record := range view.Nodes() {
		if record.Region == region && record.State == member.Alive {
			candidates = append(candidates, record)
		}
	}
	slices.SortStableFunc(candidates, func(a, b member.Record) int { return readerRank(b) - readerRank(a) })
	return candidates[:min(len(candidates), maxForwards)]
}

func readerRank(record member.Record) int {
	if record.Reader {
		return 1
	}
	return 0
}
