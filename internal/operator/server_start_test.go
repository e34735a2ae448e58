package operator_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
)

// portCloseTimeout is how long the port may be open after the context has ended.
const portCloseTimeout = 2 * time.Second

var _ = Describe("The start of the operator port", func() {
	// Guards against a port that stays open when the context ends while the server starts.
	DescribeTable("closes the port when the context ends", func(after time.Duration) {
		picked, err := ports.Pick("127.0.0.1", 1)
		Expect(err).NotTo(HaveOccurred())
		server, err := operator.NewServer("127.0.0.1", picked[0], operator.Dependencies{Metrics: http.NotFoundHandler(), Scope: tally.NoopScope})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), after)
		defer cancel()
		Expect(server.Start(ctx)).To(Succeed())
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(picked[0]))
		isOpen := func() bool {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				conn.Close()
			}
			return err == nil
		}
		Eventually(isOpen).WithTimeout(portCloseTimeout).Should(BeFalse())
		Consistently(isOpen).WithTimeout(300 * time.Millisecond).Should(BeFalse())
	},
		Entry("before the start", time.Nanosecond), Entry("during it", 50*time.Microsecond), Entry("a little later", time.Millisecond), Entry("after it", 200*time.Millisecond),
	)
})
