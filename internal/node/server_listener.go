package node

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// serverListener applies each change of the backend server's effective state to
// the admission controller and to the membership record.
type serverListener struct {
	admission *admit.Controller
	table     *member.Table
	now       func() time.Time
	previous  member.Server
}

// onChange is the listener of the drain tracker, which serializes its calls.
func (l *serverListener) onChange(server member.Server) {
	l.updateAdmission(server)
	l.previous = server
	l.table.SetServer(server, l.now())
}

func (l *serverListener) updateAdmission(server member.Server) {
	switch {
	case server.State == member.ServerReady && l.previous.State == member.ServerReady && server.Since.Equal(l.previous.Since):
		l.admission.Resize(server.Slots, server.Connections)
	case server.State == member.ServerReady:
		l.admission.Open(admit.Capacity{Slots: server.Slots, Connections: server.Connections, ReadySince: server.Since})
	case server.State == member.ServerLeaving:
		l.admission.Drain()
	default:
		l.admission.Resize(0, 0)
	}
}
