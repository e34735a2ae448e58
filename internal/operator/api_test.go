package operator_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

var _ = Describe("The operator port", func() {
	var (
		cluster     *fakeCluster
		node, other *fakeNode
		ctx         = context.Background()
	)

	BeforeEach(func() {
		cluster = newCluster()
		node, other = cluster.add("a", "near"), cluster.add("b", "near")
	})

	post := func(body string) int {
		response, err := http.Post(node.server.URL+"/v1/changes", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}

	It("refuses a body above the limit and counts it, so that no change exhausts the memory", func() {
		Expect(post(`{"change":{"id":"` + strings.Repeat("x", operator.MaxRequestBytes) + `"}}`)).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(node.counter("limit_body")).To(BeEquivalentTo(1))
		Expect(node.editor.changes()).To(BeEmpty())
	})

	DescribeTable("rejects a body that is not exactly one change, since otherwise only a part of it would be applied",
		func(body string) {
			Expect(post(body)).To(Equal(http.StatusBadRequest))
			Expect(node.editor.changes()).To(BeEmpty())
		},
		Entry("unknown field", `{"change":{"id":"c"},"weights":[1]}`),
		Entry("two changes", `{"change":{"id":"c"}}{"change":{"id":"d"}}`),
		Entry("truncated", `{"change":{"id":"c"}`),
	)

	It("refuses requests above the limit with a result code, counts them and recovers", func() {
		release := make(chan struct{})
		var running sync.WaitGroup
		node.editor.apply = func(context.Context, config.Change) (config.Outcome, error) {
			<-release
			return config.Outcome{}, nil
		}
		for range operator.MaxRequests {
			running.Go(func() { _, _ = node.client.Change(ctx, operator.ChangeRequest{}) })
		}
		Eventually(func() int { return len(node.editor.changes()) }, 5*time.Second).Should(Equal(operator.MaxRequests))
		_, err := node.client.Status(ctx)
		Expect(result.CodeOf(err)).To(Equal(result.NodeUnreachable))
		Expect(operator.MayHaveRun(err)).To(BeFalse())
		Expect(node.counter("limit_requests")).To(BeEquivalentTo(1))
		close(release)
		running.Wait()
		_, err = node.client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("closes connections above the limit and accepts new ones once others are closed", func() {
		scope := tally.NewTestScope("", nil)
		onStateChange := operator.ConnLimit(1, scope.Counter("refused"))
		first, _ := net.Pipe()
		second, end := net.Pipe()
		onStateChange(first, http.StateNew)
		onStateChange(second, http.StateNew)
		// SetWriteDeadline fails on a closed pipe; on an open one it ends the write.
		_ = end.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := end.Write([]byte("x"))
		Expect(err).To(MatchError(io.ErrClosedPipe))
		onStateChange(second, http.StateClosed)
		onStateChange(first, http.StateClosed)
		third, _ := net.Pipe()
		onStateChange(third, http.StateNew)
		Expect(scope.Snapshot().Counters()["refused+"].Value()).To(BeEquivalentTo(1))
	})

	It("reports a dead host from the membership, since the host itself cannot respond", func() {
		other.server.Close()
		other.record.State = member.Dead
		report, err := node.client.Host(ctx, "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(report.State).To(Equal("dead"))
		Expect(report.UnreachableReason).To(ContainSubstring("connection refused"))
		status, err := node.client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.NotAlive).To(Equal([]string{"b (dead)"}))
	})

	It("returns the events of one host, and those of the fleet up to the limit", func() {
		for i := range 5 {
			other.events.Record(event.Event{Kind: event.KindRefusal, Subject: "call", Target: "t", At: time.Unix(int64(i), 0)})
			node.events.Record(event.Event{Kind: event.KindRefusal, Subject: "call", Target: "u", At: time.Unix(int64(i), 0)})
		}
		one, err := node.client.Events(ctx, operator.EventQuery{Host: "b", Subject: "call"})
		Expect(err).NotTo(HaveOccurred())
		Expect(one.Events).To(HaveLen(5))
		Expect(one.Events[0].Node).To(Equal("b"))
		all, err := node.client.Events(ctx, operator.EventQuery{Fleet: true, Target: "t", Limit: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(all.Events).To(HaveLen(3))
		Expect(all.Events[0].At.Unix()).To(BeEquivalentTo(4))
		Expect(all.Truncated).To(BeTrue())
		Expect(node.counter("limit_answer")).To(BeEquivalentTo(1))
	})

	It("lists hosts whose events are missing instead of omitting them silently", func() {
		suspect := cluster.add("c", "near")
		suspect.record.State = member.Suspect
		other.server.Close()
		response, err := node.client.Events(ctx, operator.EventQuery{Fleet: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Unreachable).To(Equal([]string{"b", "c"}))
	})

	It("does not report a stop as drained while a covered host does not respond", func() {
		stop := config.Stop{ID: "s", Scope: config.StopScope{Host: "b"}, At: time.Now().Add(-time.Minute).UTC().Truncate(time.Second), Grace: time.Second, Reason: "r"}
		snapshot, err := config.Apply(config.EmptySnapshot(), config.Change{ID: "c", Stops: []config.StopUpsert{{Stop: stop}}}, config.Rules{})
		Expect(err).NotTo(HaveOccurred())
		cluster.snapshot = snapshot
		stops, err := node.client.Stops(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(stops[0].State).To(Equal("drained"))
		other.report.InFlight = 2
		stops, _ = node.client.Stops(ctx)
		Expect(stops[0].State).To(Equal("overdue"))
		other.server.Close()
		stops, _ = node.client.Stops(ctx)
		Expect(stops[0].State).To(Equal("overdue"))
		Expect(stops[0].Unreachable).To(Equal([]string{"b"}))
	})

	It("warns about a stop that covers no host and a target without a backend server, often mistyped names", func() {
		response, err := node.client.Change(ctx, operator.ChangeRequest{Change: config.Change{
			ID:      "c",
			Targets: []config.TargetUpsert{{Target: config.Target{Name: "t", Service: "nobody"}}},
			Stops:   []config.StopUpsert{{Stop: config.Stop{ID: "s", Scope: config.StopScope{Host: "nohost"}}}},
		}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Warnings).To(ConsistOf(ContainSubstring("nobody"), ContainSubstring("stop s")))
	})

	It("finds an accepted change without the store when the version in force lists it", func() {
		cluster.snapshot, _ = config.Apply(config.EmptySnapshot(), config.Change{ID: "c9", Stops: []config.StopUpsert{{Stop: config.Stop{
			ID: "s", Scope: config.StopScope{Host: "b"}, At: time.Now().UTC(), Grace: time.Second, Reason: "r",
		}}}}, config.Rules{})
		state, err := node.client.ChangeState(ctx, "c9")
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(operator.ChangeState{ChangeID: "c9", Accepted: true, Version: 1}))
	})
})
