package gossip

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// exchangeWith exchanges records with a known node.
func (e *Exchanger) exchangeWith(ctx context.Context, node member.Record, full bool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := node.ControlAddress()
	reply, refused, err := e.send(ctx, address, e.compose(node.ID, full))
	if err != nil {
		e.peers.update(node.ID, func(p *peer) { p.digest = nil })
		if refused {
			e.deps.Table.ConnectionRefused(node.ID, e.deps.Now())
		}
		return err
	}
	before := e.deps.Table.Position()
	sender, err := e.apply(reply)
	if err != nil {
		return err
	}
	changed := len(reply.GetRecords()) > 0 || e.deps.Table.Position() != before
	e.compareTables(sender, reply.GetTable(), changed)
	return nil
}

// introduceTo exchanges all records with the unknown node at an address.
func (e *Exchanger) introduceTo(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, e.config.ExchangeTimeout)
	defer cancel()
	reply, _, err := e.send(ctx, address, e.introduction())
	if err != nil {
		e.pool.discard(address)
		return err
	}
	_, err = e.apply(reply)
	return err
}

// call sends one message and returns the reply, and whether the node's host
// refused the connection.
func (e *Exchanger) call(ctx context.Context, address string, message *controlpb.Gossip) (*controlpb.Gossip, bool, error) {
	conn, err := e.pool.acquire(address)
	if err != nil {
		return nil, false, err
	}
	defer e.pool.release(conn)
	if message.GetFull() {
		e.counters.fullExchanges.Inc(1)
	}
	e.counters.sent(message)
	reply, err := conn.client.Exchange(ctx, message)
	if err != nil {
		e.counters.failures.Inc(1)
		return nil, conn.refused.Load() && ctx.Err() == nil, err
	}
	e.counters.received(reply)
	return reply, false, nil
}

// compareTables notes whether the tables of both sides agree after an exchange.
func (e *Exchanger) compareTables(id string, hash uint64, changed bool) {
	agree := hash == e.deps.Table.Hash()
	e.peers.update(id, func(p *peer) {
		switch {
		case agree || changed:
			p.mismatches = 0
		default:
			p.mismatches++
		}
	})
}

// needsFull reports whether the next exchange with a peer must carry all
// records, because the tables differ and no change explains it.
func (e *Exchanger) needsFull(id string) bool {
	now := e.deps.Now()
	needed := false
	e.peers.update(id, func(p *peer) {
		if p.mismatches < e.config.MismatchesBeforeFull || now.Sub(p.fullAt) < e.config.FullInterval {
			return
		}
		needed = true
		p.mismatches = 0
		p.fullAt = now
	})
	return needed
}
