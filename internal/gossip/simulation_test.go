package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

var errMessageLost = errors.New("message lost")

// simulation runs exchangers without a network under a virtual clock.
type simulation struct {
	now       time.Time
	processes []*process
	random    *rand.Rand
	// deliver returns for each message whether the request and the response arrive.
	deliver func() (request, response bool)
	// delivered holds earlier messages that may be delivered again.
	delivered []delivery
	// partition holds a bit for each host; hosts with different bits are
	// disconnected.
	partition int
	// check is called after each step.
	check func()
}

type delivery struct {
	to      int
	message *controlpb.Gossip
}

// process is the process on one host; a restart replaces it.
type process struct {
	index     int
	exchanger *Exchanger
	running   bool
	frozen    bool
	nextRun   time.Time
	failures  map[string]int
}

func newSimulation(size int) *simulation {
	s := &simulation{
		now:       time.Date(2026, 5, 17, 0, 0, 0, 0, time.UTC),
		processes: make([]*process, size),
		random:    rand.New(rand.NewPCG(1, 0)),
		deliver:   func() (bool, bool) { return true, true },
		check:     func() {},
	}
	for i := range s.processes {
		s.start(i, 0)
	}
	return s
}

// start starts a new process on a host, whose clock may be behind.
func (s *simulation) start(index int, clockBehind time.Duration) {
	s.now = s.now.Add(time.Millisecond)
	domain := []string{"trd-hall", "trd-annex", "bgo-depot", "svg-depot"}[index%4]
	region := []string{"trondelag", "trondelag", "vestland", "vestland"}[index%4]
	table, err := member.NewTable(member.DefaultConfig(), member.Record{
		ID: fmt.Sprintf("h%d", index), IP: "127.0.0.1", CallPort: 1, ControlPort: 1000 + index, OperatorPort: 3,
		Region: region, FailureDomain: domain, Incarnation: uint64(s.now.Add(-clockBehind).UnixMilli()),
	}, s.now)
	if err != nil {
		panic(err)
	}
	list, _ := quarantine.New(quarantine.DefaultConfig())
	exchanger, err := New(DefaultConfig(), Dependencies{Table: table, Quarantine: list, Now: func() time.Time { return s.now }, Random: func() float64 { return s.random.Float64() }})
	if err != nil {
		panic(err)
	}
	exchanger.send = s.send
	s.processes[index] = &process{index: index, exchanger: exchanger, running: true, failures: make(map[string]int)}
	s.joinAll(index)
}

func (s *simulation) joinAll(index int) {
	for _, other := range s.processes {
		if other != nil && other.index != index && other.active() {
			_ = s.processes[index].exchanger.exchangeWithAddress(context.Background(), fmt.Sprintf("127.0.0.1:%d", 1000+other.index))
		}
	}
}

func (p *process) active() bool { return p.running && !p.frozen }

func (p *process) table() *member.Table { return p.exchanger.deps.Table }

// send delivers a message and its response, or loses one of them.
func (s *simulation) send(_ context.Context, address string, message *controlpb.Gossip) (*controlpb.Gossip, bool, error) {
	var port int
	if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &port); err != nil {
		return nil, false, err
	}
	target := s.processes[port-1000]
	if target == nil || !target.running {
		return nil, true, errMessageLost
	}
	if s.partitionOf(message.GetSender()) != s.partitionOf(target.table().ID()) {
		return nil, false, errMessageLost
	}
	requestArrives, responseArrives := s.deliver()
	s.delivered = append(s.delivered, delivery{target.index, message})
	if target.frozen || !requestArrives {
		return nil, false, errMessageLost
	}
	response, err := (&server{exchanger: target.exchanger}).Exchange(context.Background(), proto.CloneOf(message))
	if err != nil || !responseArrives {
		return nil, false, errMessageLost
	}
	return proto.CloneOf(response), false, nil
}

func (s *simulation) partitionOf(id string) int { return s.partition >> (id[1] - '0') & 1 }

func (s *simulation) regionRunning(region string) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool {
		return p.running && p.table().View().Self.Region == region
	})
}

// replay delivers an earlier message again.
func (s *simulation) replay(index int) {
	if len(s.delivered) == 0 {
		return
	}
	earlier := s.delivered[index%len(s.delivered)]
	if target := s.processes[earlier.to]; target.active() {
		_, _ = (&server{exchanger: target.exchanger}).Exchange(context.Background(), proto.CloneOf(earlier.message))
	}
}

// advance advances the time with the ticks and periodic exchanges of every active
// process.
func (s *simulation) advance(duration time.Duration) {
	end := s.now.Add(duration)
	for s.now.Before(end) {
		s.now = s.now.Add(100 * time.Millisecond)
		for _, p := range s.processes {
			if !p.active() {
				continue
			}
			p.table().Tick(s.now)
			if !s.now.Before(p.nextRun) {
				p.nextRun = s.now.Add(500 * time.Millisecond)
				s.exchangeAll(p)
			}
		}
		s.check()
	}
}

// exchangeAll performs one exchange with each target of a process.
func (s *simulation) exchangeAll(p *process) {
	ctx := context.Background()
	plan := p.table().Plan()
	for _, node := range plan.Neighbours {
		_ = p.exchanger.exchangeWith(ctx, node, p.exchanger.needsFullSync(node.ID), time.Second)
	}
	for region := range plan.BridgeTargets {
		node, ok := p.exchanger.loops.bridgeTarget(region, p.failures[region])
		if ok && p.exchanger.exchangeWith(ctx, node, p.exchanger.needsFullSync(node.ID), time.Second) != nil {
			p.failures[region]++
		}
	}
	seeds := &seeder{exchanger: p.exchanger}
	if p.exchanger.isolated() {
		s.joinAll(p.index)
		return
	}
	seeds.rejoin(ctx)
}

// leave announces that a process is leaving, and ends it.
func (s *simulation) leave(index int) {
	p := s.processes[index]
	p.table().Leave(s.now)
	p.table().MarkLeft(s.now)
	s.exchangeAll(p)
	p.running = false
}
