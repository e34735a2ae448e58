package gossip

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// exchangeWith performs a push-pull exchange with a known node. With fullSync set,
// both sides send all records.
func (e *Exchanger) exchangeWith(ctx context.Context, node member.Record, fullSync bool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := node.ControlAddress()
	response, refused, err := e.send(ctx, address, e.compose(node.ID, fullSync))
	if err != nil {
		e.peers.update(node.ID, func(p *peerState) { p.sentDigest = nil })
		if refused {
			e.deps.Table.ConnectionRefused(node.ID, e.deps.Now())
		}
		return err
	}
	positionBefore := e.deps.Table.Position()
	sender, err := e.apply(response)
	if err != nil {
		return err
	}
	changed := len(response.GetRecords()) > 0 || e.deps.Table.Position() != positionBefore
	e.compareTables(sender, response.GetTable(), changed)
	return nil
}

// exchangeWithAddress sends the local record to the unknown node at an address and
// merges all records of that node.
func (e *Exchanger) exchangeWithAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, e.config.ExchangeTimeout)
	defer cancel()
	response, _, err := e.send(ctx, address, e.composeJoin())
	if err != nil {
		e.pool.closeUnused(address)
		return err
	}
	_, err = e.apply(response)
	return err
}

// callPeer sends one message and returns the response. On failure it also reports
// whether the node's host refused the connection.
func (e *Exchanger) callPeer(ctx context.Context, address string, message *controlpb.Gossip) (*controlpb.Gossip, bool, error) {
	conn, err := e.pool.acquire(address)
	if err != nil {
		return nil, false, err
	}
	defer e.pool.release(conn)
	if message.GetFull() {
		e.counters.fullExchanges.Inc(1)
	}
	e.counters.sent(message)
	response, err := conn.client.Exchange(ctx, message)
	if err != nil {
		e.counters.failures.Inc(1)
		return nil, conn.dialRefused.Load() && ctx.Err() == nil, err
	}
	e.counters.received(response)
	return response, false, nil
}

// compareTables counts consecutive exchanges after which the tables of both sides
// differ although neither has changed.
func (e *Exchanger) compareTables(id string, hash uint64, changed bool) {
	equal := hash == e.deps.Table.Hash()
	e.peers.update(id, func(p *peerState) {
		switch {
		case equal || changed:
			p.mismatches = 0
		default:
			p.mismatches++
		}
	})
}

// needsFullSync reports whether the next exchange with a peer must include all
// records, because the tables differ without a change that explains it.
func (e *Exchanger) needsFullSync(id string) bool {
	now := e.deps.Now()
	needed := false
	e.peers.update(id, func(p *peerState) {
		if p.mismatches < e.config.MismatchesBeforeFull || now.Sub(p.lastFullSync) < e.config.FullInterval {
			return
		}
		needed = true
		p.mismatches = 0
		p.lastFullSync = now
	})
	return needed
}
