package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

var _ = Describe("The server of the operator port", func() {
	var (
		node    *fakeNode
		address string
		stop    context.CancelFunc
		ended   chan error
		client  *operator.Client
		ctx     = context.Background()
	)

	BeforeEach(func() {
		node = newCluster().add("a", "near")
		free, err := net.Listen("tcp", "127.0.7.1:0")
		Expect(err).NotTo(HaveOccurred())
		port := free.Addr().(*net.TCPAddr).Port
		address = free.Addr().String()
		Expect(free.Close()).To(Succeed())
		server, err := operator.NewServer("127.0.7.1", port, node.deps)
		Expect(err).NotTo(HaveOccurred())
		var background context.Context
		background, stop = context.WithCancel(ctx)
		DeferCleanup(stop)
		ended = make(chan error, 1)
		startEnded := ended
		go func() { startEnded <- server.Start(background) }()
		client = operator.NewClient(address)
		Eventually(func() error {
			_, err := client.Status(ctx)
			return err
		}, 5*time.Second).Should(Succeed())
	})

	It("responds to a change that is in flight when the node stops, so that its outcome is known", func() {
		started, release := make(chan struct{}), make(chan struct{})
		node.editor.apply = func(_ context.Context, change config.Change) (config.Outcome, error) {
			close(started)
			<-release
			return config.Outcome{ChangeID: change.ID, Version: 8}, nil
		}
		responses := make(chan error, 1)
		go func() {
			_, err := client.Change(ctx, operator.ChangeRequest{Change: config.Change{ID: "c"}})
			responses <- err
		}()
		<-started
		stop()
		Consistently(responses, 100*time.Millisecond).ShouldNot(Receive())
		close(release)
		Eventually(responses, 5*time.Second).Should(Receive(BeNil()))
		Eventually(ended, 5*time.Second).Should(Receive(BeNil()))
	})

	It("ends in time although a change does not", func() {
		started, release := make(chan struct{}), make(chan struct{})
		node.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			close(started)
			<-release
			return config.Outcome{}, nil
		}
		responses := make(chan error, 1)
		go func() {
			_, err := client.Change(ctx, operator.ChangeRequest{})
			responses <- err
		}()
		<-started
		stop()
		Eventually(ended, 2*operator.CloseTimeout).Should(Receive(BeNil()))
		Eventually(responses, 5*time.Second).Should(Receive(Satisfy(operator.MayHaveRun)))
		close(release)
	})

	It("refuses each connection without a request when the node stops, so that a change that crosses the stop has not run", func() {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		stop()
		closing, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended, 5*time.Second).Should(Receive(BeNil()))

		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go func() {
			defer GinkgoRecover()
			crossed, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			defer crossed.Close()
			_, err = crossed.Read(make([]byte, http.DefaultMaxHeaderBytes))
			Expect(err).NotTo(HaveOccurred())
			_, err = crossed.Write(closing)
			Expect(err).NotTo(HaveOccurred())
		}()
		_, err = operator.NewClient(address).Change(ctx, operator.ChangeRequest{})
		Expect(err).To(MatchError(ContainSubstring("stopping")))
		Expect(operator.MayHaveRun(err)).To(BeFalse())
	})

	It("closes connections above the limit", func() {
		for range operator.MaxConnections {
			conn, err := net.Dial("tcp", address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		excess, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(excess.Close)
		Expect(excess.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = excess.Read(make([]byte, 1))
		Expect(err).To(Or(MatchError(io.EOF), MatchError(syscall.ECONNRESET)))
		Eventually(func() int64 { return node.counter("limit_connections") }).Should(BeNumerically(">", 0))
	})
})
