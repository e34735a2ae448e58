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
	// forwardedHeader marks a request that another node forwarded; the node that
	// receives it does not forward it again.
	forwardedHeader = "Rosemaryladder-Forwarded"
	// maxForwards is the maximum number of nodes of the store's region to which a
	// request is forwarded in turn.
	maxForwards = 3
	// forwardTimeout is the timeout of one attempt. All attempts together leave a
	// third of requestTimeout for a write by this node.
	forwardTimeout = 2 * time.Second
)

// forwardOutcome is the outcome of forwarding a request to the store's region.
type forwardOutcome[T any] struct {
	value T
	err   error
	// responded is set when a node of the store's region sent the final response.
	responded bool
	// lost is set when an attempt was sent and its response did not arrive. The
	// node that received the request may still act on it.
	lost bool
}

// forward sends a request to a node of the store's region, so that the complete
// document does not cross the link between the regions. A request that was
// already forwarded is not forwarded again.
func forward[T any](r *http.Request, a *api, send func(context.Context, *Client) (T, error)) forwardOutcome[T] {
	var outcome forwardOutcome[T]
	if r.Header.Get(forwardedHeader) != "" {
		return outcome
	}
	for _, record := range storeRegionNodes(a.View(), a.StoreRegion) {
		client := a.peers.client(record)
		client.forwarded = true
		outcome.value, outcome.err = queryWithTimeout(r.Context(), forwardTimeout, client, send)
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

// queryWithTimeout sends a request to one node with a timeout.
func queryWithTimeout[T any](ctx context.Context, timeout time.Duration, client *Client, query func(context.Context, *Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return query(ctx, client)
}

// changeError returns the error of a change. After a lost response a later error
// does not rule out that the change is applied, because the node that received it
// may still do so; the code is then ChangeOutcomeUnknown.
func (f forwardOutcome[T]) changeError(request ChangeRequest) error {
	if f.err == nil || !f.lost || request.DryRun {
		return f.err
	}
	id := request.Change.ID
	return result.Wrap(f.err, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown, because a node that received it did not respond; look up or repeat the change with this id", id)
}

// storeRegionNodes returns the nodes of the store's region to which a request is
// forwarded, the reader first. It returns none on a node of that region and while
// the region is unreachable.
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
