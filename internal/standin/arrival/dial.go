package arrival

import (
	"context"
	"net"
)

// DialContext connects to a TCP address and returns a *Conn.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: enableTimestamps}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return wrap(conn)
}
