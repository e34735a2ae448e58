package exchange

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestAbandonedRequestIsNoticedUnread guards against a peer that goes on with a request
// which was abandoned, because the close of the connection stays behind a body that the
// peer does not read while the request waits.
func TestAbandonedRequestIsNoticedUnread(t *testing.T) {
	for _, size := range []int{900 << 10, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			for _, expectContinue := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d bytes, chunked %t, expect %t", size, chunked, expectContinue), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					g.Expect(err).NotTo(gomega.HaveOccurred())
					defer listener.Close()
					client := NewClient(Options{Dial: (&net.Dialer{}).DialContext, MaxIdle: 1, IdleTimeout: time.Minute, MaxHeadBytes: 1 << 14, Now: time.Now})
					defer client.Close()
					const buffered = 200 << 10
					length := int64(size)
					if chunked {
						length = -1
					}
					content := bytes.Repeat([]byte("x"), size)
					body := &Body{Buffered: content[:buffered], rest: bytes.NewReader(content[buffered:]), Length: length}
					ctx, abandon := context.WithCancel(t.Context())
					ended := make(chan *Error, 1)
					go func() {
						_, err := client.Do(ctx, listener.Addr().String(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: body, ExpectContinue: expectContinue})
						ended <- err
					}()
					conn, err := listener.Accept()
					g.Expect(err).NotTo(gomega.HaveOccurred())
					defer conn.Close()
					_, err = http.ReadRequest(bufio.NewReaderSize(conn, 1<<10))
					g.Expect(err).NotTo(gomega.HaveOccurred())
					if expectContinue {
						_, err = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
						g.Expect(err).NotTo(gomega.HaveOccurred())
					}
					time.Sleep(200 * time.Millisecond)
					abandon()
					g.Eventually(func() bool { return isClosedUnread(g, conn) }).WithTimeout(500 * time.Millisecond).Should(gomega.BeTrue())
					g.Expect((<-ended).MaybeDelivered).To(gomega.BeTrue())
				})
			}
		}
	}
}

// isClosedUnread reports whether a close of the peer has arrived, without reading.
func isClosedUnread(g *gomega.WithT, conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0 && poll[0].Revents != 0
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return closed
}
