package gossip

import (
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// peers holds the peerState of each node. Its size is limited by that of the table.
type peers struct {
	mu    sync.Mutex
	nodes map[string]*peerState
}

func newPeers() *peers { return &peers{nodes: make(map[string]*peerState)} }

// update calls a function with the state of a peer, which is created if needed.
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

// get returns a copy of the state of a peer, or the zero state.
func (p *peers) get(id string) peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := p.nodes[id]; state != nil {
		return *state
	}
	return peerState{}
}

// prune deletes the peers that are not in the view.
func (p *peers) prune(view *member.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if _, known := view.Node(id); !known {
			delete(p.nodes, id)
		}
	}
}
