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

var errLost = errors.New("lost")

// simulation runs exchangers without a network under a virtual clock.
type simulation struct {
	now       time.Time
	processes []*process
	random    *rand.Rand
	// lossy decides the fate of each message: whether the request and the reply
	// arrive.
	lossy func() (request, reply bool)
	// old holds messages that may arrive again.
	old []delivery
	// side holds a bit for each host; hosts on different sides are disconnected.
	side int
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
		lossy:     func() (bool, bool) { return true, true },
		check:     func() {},
	}
	for i := range s.processes {
		s.start(i, 0)
	}
	return s
}

// start begins a new process on a host. The clock of the host may be behind.
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
	s.introduce(index)
}

func (s *simulation) introduce(index int) {
	for _, other := range s.processes {
		if other != nil && other.index != index && other.active() {
			_ = s.processes[index].exchanger.introduceTo(context.Background(), fmt.Sprintf("127.0.0.1:%d", 1000+other.index))
		}
	}
}

func (p *process) active() bool { return p.running && !p.frozen }

func (p *process) table() *member.Table { return p.exchanger.deps.Table }

// send delivers a message and its reply, or loses one of them.
func (s *simulation) send(_ context.Context, address string, message *controlpb.Gossip) (*controlpb.Gossip, bool, error) {
	var port int
	if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &port); err != nil {
		return nil, false, err
	}
	target := s.processes[port-1000]
	if target == nil || !target.running {
		return nil, true, errLost
	}
	if s.sideOf(message.GetSender()) != s.sideOf(target.table().ID()) {
		return nil, false, errLost
	}
	request, reply := s.lossy()
	s.old = append(s.old, delivery{target.index, message})
	if target.frozen || !request {
		return nil, false, errLost
	}
	answer, err := (&server{exchanger: target.exchanger}).Exchange(context.Background(), proto.CloneOf(message))
	if err != nil || !reply {
		return nil, false, errLost
	}
	return proto.CloneOf(answer), false, nil
}

func (s *simulation) sideOf(id string) int { return s.side >> (id[1] - '0') & 1 }

func (s *simulation) regionRuns(region string) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool {
		return p.running && p.table().View().Self.Region == region
	})
}

// replay delivers an earlier message again.
func (s *simulation) replay(index int) {
	if len(s.old) == 0 {
		return
	}
	again := s.old[index%len(s.old)]
	if target := s.processes[again.to]; target.active() {
		_, _ = (&server{exchanger: target.exchanger}).Exchange(context.Background(), proto.CloneOf(again.message))
	}
}

// advance lets time pass, with the ticks and the periodic exchanges of every
// process that is active.
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

// exchangeAll does one exchange with each target of a process.
func (s *simulation) exchangeAll(p *process) {
	ctx := context.Background()
	plan := p.table().Plan()
	for _, node := range plan.Neighbours {
		_ = p.exchanger.exchangeWith(ctx, node, p.exchanger.needsFull(node.ID), time.Second)
	}
	for region := range plan.BridgeTargets {
		node, found := p.exchanger.loops.bridgeTarget(region, p.failures[region])
		if found && p.exchanger.exchangeWith(ctx, node, p.exchanger.needsFull(node.ID), time.Second) != nil {
			p.failures[region]++
		}
	}
	seeds := &seeder{exchanger: p.exchanger}
	if p.exchanger.isolated() {
		s.introduce(p.index)
		return
	}
	seeds.rejoin(ctx)
}

// leave ends a process after it announced that.
func (s *simulation) leave(index int) {
	p := s.processes[index]
	p.table().Leave(s.now)
	p.table().MarkLeft(s.now)
	s.exchangeAll(p)
	p.running = false
}
