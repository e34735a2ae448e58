package call

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

const (
	shutdownRounds  = 40
	shutdownSenders = 16
)

// TestShutdownLosesNoCall guards against a call on a kept connection of another node
// that is neither handled nor refused when the call server shuts down: the other node
// can't know that it did not run.
func TestShutdownLosesNoCall(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent, lost atomic.Int64
	for range shutdownRounds {
		var handled sync.Map
		started := make(chan struct{})
		start := sync.OnceFunc(func() { close(started) })
		server, err := NewServer(DefaultConfig(), "127.0.0.1", 0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.Header.Get(HeaderCallID), true)
			start()
			_, _ = io.WriteString(w, "ok")
		}))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		address, err := server.Start()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var senders sync.WaitGroup
		for i := range shutdownSenders {
			senders.Go(func() {
				sender := newShutdownSender()
				defer sender.client.Close()
				for j := 0; ; j++ {
					id := strconv.Itoa(i) + "-" + strconv.Itoa(j)
					kept, exchangeErr := sender.send(t.Context(), address.String(), id)
					sent.Add(1)
					if exchangeErr == nil {
						continue
					}
					if _, found := handled.Load(id); kept && exchangeErr.MaybeDelivered && !found {
						lost.Add(1)
					}
					return
				}
			})
		}
		<-started
		time.Sleep(time.Duration(rand.IntN(5000)) * time.Microsecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		g.Expect(server.Shutdown(ctx)).To(gomega.Succeed())
		cancel()
		senders.Wait()
	}
	t.Logf("%d calls", sent.Load())
	g.Expect(lost.Load()).To(gomega.BeZero())
}

// shutdownSender sends calls on one connection.
type shutdownSender struct {
	client *exchange.Client
	dials  int
}

func newShutdownSender() *shutdownSender {
	s := &shutdownSender{}
	s.client = exchange.NewClient(exchange.Options{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			s.dials++
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
		MaxIdle: 1, IdleTimeout: time.Minute, MaxHeadBytes: 4096, Now: time.Now,
	})
	return s
}

// send sends a call. kept is set when it used a connection of an earlier call.
func (s *shutdownSender) send(ctx context.Context, address, id string) (kept bool, err *exchange.Error) {
	dials := s.dials
	e, err := s.client.Do(ctx, address, &exchange.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Body: &exchange.Body{},
		AddedHeaders: []exchange.HeaderField{{Name: HeaderCallID, Value: id}},
	})
	if err != nil {
		return s.dials == dials, err
	}
	_, readErr := io.Copy(io.Discard, e.Response.Body)
	e.Finish(readErr == nil)
	return s.dials == dials, nil
}
