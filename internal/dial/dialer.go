// Package dial opens TCP connections to other hosts from the IP address of the node,
// through an HTTP CONNECT egress proxy if one is configured.
//
// It holds no state. A failed dial returns the error of the step that failed.
package dial

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// DefaultTimeout limits one dial, including the proxy handshake.
const DefaultTimeout = 2 * time.Second

// Dialer opens TCP connections.
type Dialer struct {
	// LocalIP is the source address; if empty, the system chooses one.
	LocalIP string
	// EgressProxy is the address of an HTTP CONNECT proxy; if empty, dials are direct.
	EgressProxy string
	// Timeout limits a dial; 0 means DefaultTimeout.
	Timeout time.Duration
}

// DialContext connects to an IP address and port. The network argument is ignored.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout())
	defer cancel()
	if d.EgressProxy == "" || d.isLocal(address) {
		return d.connect(ctx, address)
	}
	conn, err := d.connect(ctx, d.EgressProxy)
	if err != nil {
		return nil, err
	}
	if err := requestTunnel(ctx, conn, address); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// Dial connects to an IP address and port. It is a context dialer for grpc-go.
func (d Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

func (d Dialer) timeout() time.Duration {
	if d.Timeout == 0 {
		return DefaultTimeout
	}
	return d.Timeout
}

// isLocal reports whether address is on the local host.
func (d Dialer) isLocal(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host == d.LocalIP
}

func (d Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{}
	if d.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.LocalIP)}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

func requestTunnel(ctx context.Context, conn net.Conn, address string) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return errors.Wrapf(err, "set the deadline of the proxy handshake for %s", address)
		}
	}
	request := "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return errors.Wrapf(err, "send CONNECT %s to the egress proxy", address)
	}
	// The reader cannot buffer payload of the peer: after the response headers the
	// proxy sends nothing before the peer does, and in all protocols used here the
	// dialing side sends first.
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodConnect})
	if err != nil {
		return errors.Wrapf(err, "read the response of the egress proxy to CONNECT %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the egress proxy refused the connection to %s with status %q, want 200", address, response.Status)
	}
	return errors.Wrapf(conn.SetDeadline(time.Time{}), "clear the deadline of the proxy handshake for %s", address)
}
