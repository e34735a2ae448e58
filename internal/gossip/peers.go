package gossip

import (
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// peers holds the progress of the exchange with each node of the table, which
// bounds it.
type peers struct {
	mu    sync.Mutex
	nodes map[string]*peerState
}

func newPeers() *peers { return &peers{nodes: make(map[string]*peerState)} }

// update runs a function on the state of a peer.
func (p *peers) update(id string, change func(*peerState)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.nodes[id]
	if state == nil {
		state = &peerState{}
		p.nodes[id] = state
	}
	change(state)
}

// get returns a copy of the state of a peer.
func (p *peers) get(id string) peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.nodes[id]; state != nil {
		return *state
	}
	return peerState{}
}

// prune drops the peers that the view does not hold.
func (p *peers) prune(view *member.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if _, known := view.Node(id); !known {
			delete(p.nodes, id)
		}
	}
}
