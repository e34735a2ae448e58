package member

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

func TestTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Table")
}

var start = time.Date(2026, 5, 17, 0, 0, 0, 0, time.UTC)

func record(id, region string) Record {
	return Record{ID: id, IP: "127.0.0.1", CallPort: 1, ControlPort: 2, OperatorPort: 3,
		Region: region, FailureDomain: region + "-a", Incarnation: 1, State: Alive}
}

func newTable(config Config, id string, others ...Record) *Table {
	table, err := NewTable(config, record(id, "svealand"), start)
	Expect(err).NotTo(HaveOccurred())
	table.Merge("peer", others, start)
	return table
}

func stateOf(table *Table, id string) State {
	current, _ := table.View().Node(id)
	return current.State
}

// advance advances the time in steps of 100 ms and calls each and then Tick at
// every step. It returns the final time.
func advance(table *Table, from time.Time, duration time.Duration, each func(now time.Time)) time.Time {
	now := from
	for now.Before(from.Add(duration)) {
		now = now.Add(100 * time.Millisecond)
		each(now)
		table.Tick(now)
	}
	return now
}

func noop(time.Time) {}

var _ = Describe("Table", func() {
	// Guards against a process that was frozen and suspects all other nodes when it
	// resumes.
	It("does not suspect other nodes after a pause of its own process", func() {
		table := newTable(DefaultConfig(), "a", record("b", "svealand"))
		table.MessageReceived("b", start)
		table.Tick(start)
		now := start.Add(20 * time.Second)
		table.Tick(now)
		Expect(stateOf(table, "b")).To(Equal(Alive))
		Expect(table.Stats().Pauses).To(BeEquivalentTo(1))
		advance(table, now, 4*time.Second, noop)
		Expect(stateOf(table, "b")).To(Equal(Dead))
	})

	// Guards against a killed node that stays undetected because the nodes that
	// have it as a neighbour died with it.
	It("suspects an unresponsive node that has this node as its neighbour", func() {
		var others []Record
		for i := range 30 {
			others = append(others, record(fmt.Sprintf("n%d", i), "svealand"))
		}
		table := newTable(DefaultConfig(), "a", others...)
		neighbours := make(map[string]bool)
		for _, neighbour := range table.Plan().Neighbours {
			neighbours[neighbour.ID] = true
		}
		monitored := ""
		for _, other := range others {
			if !neighbours[other.ID] && table.monitors(other) {
				monitored = other.ID
			}
		}
		Expect(monitored).NotTo(BeEmpty())
		table.MessageReceived(monitored, start)
		advance(table, start, 1600*time.Millisecond, func(now time.Time) {
			for id := range neighbours {
				table.MessageReceived(id, now)
			}
		})
		Expect(stateOf(table, monitored)).To(Equal(Suspect))
	})

	// Guards against backend servers of another region that disappear from the view
	// when only the link fails, and against the removal of dead nodes before the
	// other region could learn of them.
	It("keeps the records of an unreachable region", func() {
		suspect := record("y", "gotaland")
		suspect.State = Suspect
		table := newTable(DefaultConfig(), "a", record("x", "gotaland"), suspect, record("z", "gotaland"))
		dead := record("z", "gotaland")
		dead.State = Dead
		table.Merge("peer", []Record{dead}, start)
		now := advance(table, start, 20*time.Minute, noop)
		Expect(table.View().RegionReachable("gotaland")).To(BeFalse())
		Expect(stateOf(table, "x")).To(Equal(Alive))
		Expect(stateOf(table, "y")).To(Equal(Suspect))
		Expect(stateOf(table, "z")).To(Equal(Dead))
		contact := func(now time.Time) { table.MessageReceived("x", now) }
		now = advance(table, now, 9*time.Minute, contact)
		Expect(table.View().RegionReachable("gotaland")).To(BeTrue())
		Expect(stateOf(table, "z")).To(Equal(Dead))
		advance(table, now, 2*time.Minute, contact)
		Expect(stateOf(table, "z")).To(BeZero(), "removed 10 minutes after the region became reachable again")
	})

	// Guards against a failed link that stays undetected because nodes keep
	// reporting an old contact to each other, which seems more recent by the
	// transit time of each message.
	It("detects a failed link although its neighbours report contacts", func() {
		a := newTable(DefaultConfig(), "a", record("x", "gotaland"))
		b := newTable(DefaultConfig(), "b", record("x", "gotaland"))
		advance(a, start, 10*time.Second, func(now time.Time) {
			b.MergeRegionContacts(a.RegionContacts(now), now.Add(45*time.Millisecond))
			a.MergeRegionContacts(b.RegionContacts(now.Add(45*time.Millisecond)), now.Add(90*time.Millisecond))
		})
		Expect(a.View().RegionReachable("gotaland")).To(BeFalse())
	})

	// Guards against a leaving node that is reported as a failure.
	It("does not suspect a leaving node", func() {
		leaving := record("b", "svealand")
		leaving.State = Leaving
		table := newTable(DefaultConfig(), "a", leaving)
		advance(table, start, 3*time.Second, noop)
		table.ConnectionRefused("b", start.Add(3*time.Second))
		Expect(stateOf(table, "b")).To(Equal(Leaving))
		Expect(table.Stats().Suspicions).To(BeZero())
	})

	// Guards against unbounded growth of memory and messages.
	It("limits the number of records in the table and in each message", func() {
		config := DefaultConfig()
		config.MaxRecords = 20
		config.MaxMessageRecords = 8
		table := newTable(config, "a")
		dead := record("gone", "svealand")
		table.Merge("peer", []Record{dead}, start)
		dead.State = Dead
		table.Merge("peer", []Record{dead}, start)
		for i := range 40 {
			table.Merge("peer", []Record{record(fmt.Sprintf("n%d", i), "svealand")}, start)
		}
		Expect(table.View().Nodes()).To(HaveLen(20))
		Expect(table.Stats()).To(HaveField("Evicted", BeEquivalentTo(1)))
		Expect(table.Stats()).To(HaveField("Dropped", BeEquivalentTo(21)))
		received := make(map[string]bool)
		for from := uint64(0); from < table.Position(); {
			records, position := table.ChangedSince("other", from)
			Expect(len(records)).To(BeNumerically("<=", 8))
			for _, r := range records {
				received[r.ID] = true
			}
			from = position
		}
		Expect(received).To(HaveLen(20))
	})

	// Guards against two hosts with the same name that flood the fleet with
	// records.
	It("raises its incarnation above that of another process with its id at most once per interval", func() {
		table := newTable(DefaultConfig(), "a")
		for i := range uint64(50) {
			other := record("a", "svealand")
			other.Incarnation = 100 + i*2
			table.Merge("peer", []Record{other}, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		Expect(table.Stats().Outbids).To(BeEquivalentTo(1))
	})

	// Guards against failures and repairs for which no event is recorded.
	It("records changes relevant to operators as events", func() {
		table := newTable(DefaultConfig(), "a", record("x", "gotaland"))
		ring := event.NewRing("a", 10, func() time.Time { return start })
		table.Subscribe(NewEventListener(ring))
		suspect := record("x", "gotaland")
		suspect.State = Suspect
		table.Merge("peer", []Record{suspect}, start)
		now := advance(table, start, 6*time.Second, noop)
		table.MessageReceived("x", now)
		suspect.State, suspect.Sequence = Alive, 1
		table.Merge("peer", []Record{suspect}, now)
		messages := ""
		for _, e := range ring.Select(event.Query{}) {
			messages = string(e.Kind) + " " + e.Subject + ": " + e.Message + "\n" + messages
		}
		Expect(messages).To(Equal("membership x: the node is suspect\n" +
			"membership gotaland: the region is unreachable; its records are kept\n" +
			"repair gotaland: the region is reachable again\n" +
			"repair x: the node is alive again after it was suspect\n"))
	})

	// Guards against listeners that receive changes out of order.
	It("notifies listeners of changes in order, also when a listener changes the table", func() {
		table := newTable(DefaultConfig(), "a")
		var states []ServerState
		table.Subscribe(ListenerFunc(func(change Change) {
			states = append(states, change.View.Self.Server.State)
			if change.View.Self.Server.State == ServerStarting {
				table.SetServer(Server{Service: "katalog", State: ServerReady}, start)
			}
		}))
		table.SetServer(Server{Service: "katalog", State: ServerStarting}, start)
		table.Leave(start)
		Expect(states).To(Equal([]ServerState{ServerStarting, ServerReady, ServerLeaving}))
	})
})
