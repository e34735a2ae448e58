package operator

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// maxConcurrentQueries is the maximum number of hosts that are queried
// concurrently.
const maxConcurrentQueries = 16

// peers creates clients of other nodes. They share one connection pool.
type peers struct {
	pool *pool
}

func newPeers(dialer dial.Dialer) *peers {
	return &peers{pool: newPool(dialer)}
}

func (p *peers) client(record member.Record) *Client {
	client := p.pool.client(record.OperatorAddress())
	client.host = record.ID
	return client
}

// peerResponse is the response of one host, or the error of its request.
type peerResponse[T any] struct {
	host  string
	value T
	err   error
}

// queryAll queries all hosts, at most maxConcurrentQueries at a time, and returns
// their responses in the order of the hosts.
func queryAll[T any](ctx context.Context, peers *peers, hosts []member.Record, timeout time.Duration, query func(context.Context, *Client) (T, error)) []peerResponse[T] {
	responses := make([]peerResponse[T], len(hosts))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	var mu sync.Mutex
	for i, host := range hosts {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			value, err := query(ctx, peers.client(host))
			mu.Lock()
			defer mu.Unlock()
			responses[i] = peerResponse[T]{host: host.ID, value: value, err: err}
			return nil
		})
	}
	_ = group.Wait()
	return responses
}
