package freshness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestStatementsNeverBecomeNewer guards against a delay on the way, or a pause of the
// receiver, that makes a confirmation look newer than it is.
func TestStatementsNeverBecomeNewer(t *testing.T) {
	g := gomega.NewWithT(t)
	sender, receiver := NewTracker(4*time.Second), NewTracker(4*time.Second)
	sender.Confirm(3, 3, 10*time.Second)
	s, known := sender.State(11*time.Second, 10500*time.Millisecond)
	g.Expect(known).To(gomega.BeTrue())
	// The response arrives an hour after the question, which was sent at 10.5 s.
	receiver.Accept(3, s, 10500*time.Millisecond)
	age, _ := receiver.Age(time.Hour)
	g.Expect(age).To(gomega.BeNumerically(">=", time.Hour-10*time.Second))
	g.Expect(receiver.Confirmed(14*time.Second-time.Millisecond, 3)).To(gomega.BeTrue())
	g.Expect(receiver.Confirmed(14*time.Second+time.Millisecond, 3)).To(gomega.BeFalse())
}

// TestOtherVersionsAreNotConfirmed guards against a confirmation that is used for a version
// which it says nothing of.
func TestOtherVersionsAreNotConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker(4 * time.Second)
	g.Expect(tracker.Confirmed(0, 1)).To(gomega.BeFalse())
	tracker.Confirm(3, 4, time.Second)
	g.Expect(tracker.Confirmed(time.Second, 3)).To(gomega.BeFalse())
	tracker.Confirm(4, 4, time.Second)
	g.Expect(tracker.Confirmed(time.Second, 4)).To(gomega.BeTrue())
	g.Expect(tracker.Confirmed(time.Second, 5)).To(gomega.BeTrue(), "a newer one that the node got since")
	g.Expect(tracker.Confirmed(time.Second, 3)).To(gomega.BeFalse())
	tracker.Accept(4, Statement{Version: 4, Age: -time.Second}, time.Hour)
	g.Expect(tracker.Confirmed(time.Hour, 4)).To(gomega.BeFalse())
}

// The model of TestWithdrawnKeysAreRefused: a store, one node that asks it, and nodes that
// ask other nodes. A key is withdrawn by one of the versions. The limit is the whole bound
// and leaves no margin, so that an error of a millisecond shows.
const (
	modelRevoke = 5000 * time.Millisecond
	modelLimit  = modelRevoke
	modelStep   = 50 * time.Millisecond
)

// modelNode is a node whose clock has an origin of its own.
type modelNode struct {
	tracker     *Tracker
	held        uint64
	clockOrigin time.Duration
	pausedUntil time.Duration
}

func (n *modelNode) clock(now time.Duration) time.Duration { return now + n.clockOrigin }

// modelMessage is a question, or the response to one, that arrives at some time, twice
// perhaps, or never.
type modelMessage struct {
	from, to int
	arrives  time.Duration
	sent     time.Duration
	response bool
	known    bool
	// waiting is set while the receiver of a question waits for news, since heldSince.
	waiting   bool
	heldSince time.Duration
	statement Statement
	held      uint64
}

// TestWithdrawnKeysAreRefused guards against a request with a withdrawn key that a node
// accepts although it was sent later than modelRevoke after the withdrawal was
// acknowledged: with messages lost, late, doubled and reordered, nodes that pause and
// restart, and a store that is away.
func TestWithdrawnKeysAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*modelNode, rapid.IntRange(2, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &modelNode{tracker: NewTracker(modelLimit), clockOrigin: time.Duration(rapid.IntRange(0, 1000).Draw(t, "origin")) * time.Hour}
		}
		// Version k is acknowledged at acks[k-1]; withdrawing is the one without the key.
		acks := []time.Duration{0}
		versions := rapid.IntRange(1, 4).Draw(t, "versions")
		for range versions {
			acks = append(acks, acks[len(acks)-1]+time.Duration(rapid.IntRange(1, 200).Draw(t, "pause"))*modelStep)
		}
		withdrawing := uint64(rapid.IntRange(2, len(acks)).Draw(t, "withdrawing"))
		newest := func(now time.Duration) uint64 {
			version := uint64(0)
			for _, ack := range acks {
				if ack <= now {
					version++
				}
			}
			return version
		}
		var messages, sent []modelMessage
		send := func(m modelMessage, now time.Duration) {
			for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "copies") {
				m.arrives = now + time.Duration(rapid.SampledFrom([]int{0, 1, 1, 2, 5, 40, 200}).Draw(t, "delay"))*modelStep
				sent = append(sent, m)
			}
		}
		for now := time.Duration(0); now < acks[len(acks)-1]+2*modelRevoke; now += modelStep {
			for i, n := range nodes {
				if now < n.pausedUntil {
					continue
				}
				switch rapid.IntRange(0, 120).Draw(t, "event") {
				case 0:
					n.pausedUntil = now + time.Duration(rapid.IntRange(1, 200).Draw(t, "paused"))*modelStep
				case 1:
					n.tracker, n.held = NewTracker(modelLimit), 0
				case 2, 3, 4, 5, 6, 7, 8, 9:
					if i == 0 {
						// The response of the store is late, but says what was true when it was sent.
						asked, version := n.clock(now), newest(now)
						n.held = max(n.held, version)
						n.tracker.Confirm(n.held, version, asked)
					} else {
						to := rapid.IntRange(0, len(nodes)-1).Draw(t, "to")
						send(modelMessage{from: i, to: to, sent: n.clock(now)}, now)
					}
				}
			}
			var rest []modelMessage
			for _, m := range messages {
				to := nodes[m.to]
				switch {
				case m.arrives > now || now < to.pausedUntil:
					rest = append(rest, m)
				case m.response:
					to.held = max(to.held, m.held)
					if m.known {
						to.tracker.Accept(to.held, m.statement, m.sent)
					}
				case !m.waiting:
					m.waiting, m.heldSince = true, to.clock(now)
					m.arrives = now + time.Duration(rapid.IntRange(0, 10).Draw(t, "wait"))*modelStep
					rest = append(rest, m)
				default:
					response := modelMessage{from: m.to, to: m.from, sent: m.sent, response: true, held: to.held}
					response.statement, response.known = to.tracker.State(to.clock(now), m.heldSince)
					send(response, now)
				}
			}
			messages = append(rest, sent...)
			sent = nil
			for i, n := range nodes {
				accepted := now >= n.pausedUntil && n.held < withdrawing && n.tracker.Confirmed(n.clock(now), n.held)
				if ack := acks[withdrawing-1]; accepted && now > ack+modelRevoke {
					t.Fatalf("node %d with version %d accepts a key at %s that version %d withdrew at %s", i, n.held, now, withdrawing, ack)
				}
			}
		}
	})
}
