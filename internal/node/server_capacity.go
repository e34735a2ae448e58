package node

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// serverFollower passes each change of the backend server's effective state on
// to admission and to the membership record.
type serverFollower struct {
	gate  *admit.Controller
	table *member.Table
	now   func() time.Time
	last  member.Server
}

// follow is the listener of the drain tracker, which orders its calls.
func (f *serverFollower) follow(server member.Server) {
	f.admit(server)
	f.last = server
	f.table.SetServer(server, f.now())
}

func (f *serverFollower) admit(server member.Server) {
	switch {
	case server.State == member.ServerReady && f.last.State == member.ServerReady && server.Since.Equal(f.last.Since):
		f.gate.Resize(server.Slots, server.Connections)
	case server.State == member.ServerReady:
		f.gate.Open(admit.Capacity{Slots: server.Slots, Connections: server.Connections, ReadySince: server.Since})
	case server.State == member.ServerLeaving:
		f.gate.Drain()
	default:
		f.gate.Resize(0, 0)
	}
}
