package link

import (
	"io"
	"net"
	"net/netip"
	"slices"
	"time"
)

// tunnel is one connection through the link.
type tunnel struct {
	from, to           netip.Addr
	fromPlace, toPlace Place
	kind               string
	latency            time.Duration
	client, server     net.Conn
}

// connects reports whether the tunnel is between the two places.
func (t *tunnel) connects(p pair) bool {
	from := []string{t.from.String(), t.fromPlace.Domain, t.fromPlace.Region}
	to := []string{t.to.String(), t.toPlace.Domain, t.toPlace.Region}
	return slices.Contains(from, p.a) && slices.Contains(to, p.b) ||
		slices.Contains(from, p.b) && slices.Contains(to, p.a)
}

// close closes both connections.
func (t *tunnel) close() {
	t.client.Close()
	t.server.Close()
}

// hijackedConn is a client connection taken over from the HTTP server. Reads include
// the data that the server has already buffered.
type hijackedConn struct {
	*net.TCPConn
	reader io.Reader
}

// Read implements io.Reader.
func (h hijackedConn) Read(p []byte) (int, error) { return h.reader.Read(p) }
