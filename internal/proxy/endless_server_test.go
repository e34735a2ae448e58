package proxy

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessServer is a backend server that sends bytes without end in response to each
// request, until its peer closes the connection.
type endlessServer struct {
	address string
	// first is sent once, then repeated is sent again and again.
	first, repeated string
	// pause is the time between two writes.
	pause time.Duration
	// conns counts the connections with a request, open those that are not closed, and
	// sent the bytes.
	conns, open, sent atomic.Int64
	// allowed is the number of repeated bytes that each response may have until now.
	allowed atomic.Int64
	// closedAt is when the last connection was closed.
	closedAt atomic.Pointer[time.Time]
}

func startEndlessServer(t *testing.T, first, repeated string, pause time.Duration) *endlessServer {
	s := &endlessServer{first: first, repeated: repeated, pause: pause}
	s.allowed.Store(math.MaxInt64)
	s.address = serveConns(t, s.serve)
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.conns.Add(1)
	s.open.Add(1)
	defer func() {
		now := time.Now()
		s.closedAt.Store(&now)
		s.open.Add(-1)
	}()
	_, err = io.WriteString(conn, strings.ReplaceAll(s.first, "ID", request.Header.Get(testHeaders.RequestID)))
	// A conversion for each write would allocate as much as is sent, which counts as memory
	// of the process.
	repeated := []byte(s.repeated)
	for sent := int64(0); err == nil; {
		time.Sleep(s.pause)
		for sent >= s.allowed.Load() {
			time.Sleep(allowedPollInterval)
		}
		var n int
		n, err = conn.Write(repeated)
		sent += int64(n)
		s.sent.Add(int64(n))
	}
}

const (
	// allowedPollInterval is the time between two checks whether a response may go on.
	allowedPollInterval = time.Millisecond
	// quietTime is how long no response goes on before all count as held.
	quietTime = 20 * time.Millisecond
)

// holdResponses lets each response go on up to a number of repeated bytes, and waits
// until none goes on.
func (s *endlessServer) holdResponses(bytes int64) {
	s.allowed.Store(bytes)
	for sent := int64(-1); sent != s.sent.Load(); {
		sent = s.sent.Load()
		time.Sleep(quietTime)
	}
}
