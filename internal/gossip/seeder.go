package gossip

import (
	"context"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// attemptsBeforeOverwrite is the number of attempts to join after which seeds in
// the store that do not respond are overwritten.
const attemptsBeforeOverwrite = 3

// seeder joins the node to the fleet through seeds, and reconnects it to nodes that
// it has lost contact with.
type seeder struct {
	exchanger *Exchanger
	store     *seedStore
}

func newSeeder(e *Exchanger) *seeder {
	return &seeder{exchanger: e, store: newSeedStore(e)}
}

// run joins the fleet, then publishes seeds and tries dead nodes and unknown seeds.
func (s *seeder) run(ctx context.Context) {
	s.join(ctx)
	config := s.exchanger.config
	delay := config.FirstRejoin
	var nextPublication time.Time
	for sleep(ctx, delay/2+s.exchanger.jitter(delay)) {
		delay = min(2*delay, config.RejoinInterval)
		if s.exchanger.isolated() {
			s.join(ctx)
			delay = config.FirstRejoin
			continue
		}
		s.rejoin(ctx)
		now := s.exchanger.deps.Now()
		if now.Before(nextPublication) || !s.exchanger.deps.IsFirstRelay() {
			continue
		}
		if s.publish(ctx, true) {
			nextPublication = now.Add(config.SeedInterval)
		}
	}
}

// join tries seeds until another node is known: first the configured ones, then
// those in the store. The first read of the store is delayed by full jitter within
// StoreJitter, later ones within an exponentially growing time.
func (s *seeder) join(ctx context.Context) {
	config := s.exchanger.config
	delay := config.StoreJitter
	for attempt := 1; ; attempt++ {
		if s.joinAny(ctx, s.exchanger.deps.Seeds) || s.hasContact() {
			return
		}
		if !sleep(ctx, s.exchanger.jitter(delay)) {
			return
		}
		if s.hasContact() || s.joinFromStore(ctx, attempt) {
			return
		}
		delay = min(2*delay, config.MaxJoinDelay)
	}
}

// joinFromStore tries the seeds of the local domain, then those of the others. If
// the local domain has no seeds, the node writes itself as the first one. Only one
// node can create the key; the others find it at their next attempt. Seeds that
// repeatedly do not respond belong to hosts that no longer run a node and are
// overwritten.
func (s *seeder) joinFromStore(ctx context.Context, attempt int) bool {
	if s.store == nil {
		return false
	}
	localDomain := s.exchanger.deps.Table.View().Self.FailureDomain
	addresses, err := s.store.read(ctx, localDomain)
	if err != nil {
		return false
	}
	if s.joinAny(ctx, addresses) {
		return true
	}
	domains, err := s.store.domains(ctx)
	if err != nil {
		return false
	}
	for _, domain := range domains {
		if domain != localDomain && s.joinDomain(ctx, domain) {
			return true
		}
	}
	stale := attempt >= attemptsBeforeOverwrite
	if len(addresses) == 0 || stale {
		s.publish(ctx, stale)
	}
	return false
}

// publish writes the seeds of the local domain and contacts registered domains
// without a known node, so that domains that started separately merge. It reports
// whether the seeds were written.
func (s *seeder) publish(ctx context.Context, overwrite bool) bool {
	if s.store == nil {
		return false
	}
	if err := s.store.publish(ctx, s.localSeeds(), overwrite); err != nil {
		s.exchanger.deps.Logger.WithError(err).Debug("failed to write the seeds of the failure domain to the store")
		return false
	}
	for _, domain := range s.store.registeredDomains {
		if !s.domainKnown(domain) {
			s.joinDomain(ctx, domain)
		}
	}
	return true
}

func (s *seeder) joinDomain(ctx context.Context, domain string) bool {
	addresses, err := s.store.read(ctx, domain)
	return err == nil && s.joinAny(ctx, addresses)
}

// rejoin tries one random dead node or unknown seed.
func (s *seeder) rejoin(ctx context.Context) {
	dead := s.exchanger.deps.Table.Plan().Dead
	unknown := s.unknownSeeds()
	if len(dead)+len(unknown) == 0 {
		return
	}
	choice := int(s.exchanger.deps.Random() * float64(len(dead)+len(unknown)))
	if choice < len(dead) {
		if s.exchanger.exchangeWith(ctx, dead[choice], false, s.exchanger.config.ExchangeTimeout) != nil {
			s.exchanger.pool.closeUnused(dead[choice].ControlAddress())
		}
		return
	}
	_ = s.exchanger.exchangeWithAddress(ctx, unknown[choice-len(dead)])
}

// joinAny exchanges with the addresses in random order until one responds. It
// reports whether one did.
func (s *seeder) joinAny(ctx context.Context, addresses []string) bool {
	localAddress := s.exchanger.deps.Table.View().Self.ControlAddress()
	for _, i := range s.randomOrder(len(addresses)) {
		if addresses[i] == localAddress {
			continue
		}
		if s.exchanger.exchangeWithAddress(ctx, addresses[i]) == nil {
			s.exchanger.markJoined()
			return true
		}
	}
	return false
}

// randomOrder returns a random permutation of the numbers below n.
func (s *seeder) randomOrder(n int) []int {
	order := make([]int, n)
	for i := range order {
		j := int(s.exchanger.deps.Random() * float64(i+1))
		order[i] = order[j]
		order[j] = i
	}
	return order
}

// hasContact reports whether another node has contacted this one in the meantime, and
// marks the node as joined if so.
func (s *seeder) hasContact() bool {
	if s.exchanger.isolated() {
		return false
	}
	s.exchanger.markJoined()
	return true
}

func (s *seeder) domainKnown(domain string) bool {
	localDomain := s.exchanger.deps.Table.View().Self.FailureDomain
	return domain == localDomain || slices.ContainsFunc(s.otherNodes(), func(r member.Record) bool {
		return r.FailureDomain == domain && !r.DeadOrLeft()
	})
}

func (s *seeder) otherNodes() []member.Record {
	view := s.exchanger.deps.Table.View()
	return slices.DeleteFunc(slices.Clone(view.Nodes()), func(r member.Record) bool { return r.ID == view.Self.ID })
}

// unknownSeeds returns the configured seeds that are not the control address of a
// node that is neither left nor dead.
func (s *seeder) unknownSeeds() []string {
	view := s.exchanger.deps.Table.View()
	known := make(map[string]bool)
	for _, record := range view.Nodes() {
		if !record.DeadOrLeft() {
			known[record.ControlAddress()] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.exchanger.deps.Seeds), func(address string) bool { return known[address] })
}

// localSeeds returns control addresses of the local domain, that of this node
// first.
func (s *seeder) localSeeds() []string {
	self := s.exchanger.deps.Table.View().Self
	addresses := []string{self.ControlAddress()}
	for _, record := range s.otherNodes() {
		if len(addresses) < maxSeeds && record.FailureDomain == self.FailureDomain && record.State == member.Alive {
			addresses = append(addresses, record.ControlAddress())
		}
	}
	return addresses
}

func (e *Exchanger) markJoined() {
	e.joinedOnce.Do(func() { close(e.joined) })
}
