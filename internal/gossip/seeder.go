package gossip

import (
	"context"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// attemptsBeforeReplacing is the number of attempts to join after which seeds in
// the store that do not answer are replaced.
const attemptsBeforeReplacing = 3

// seeder joins the node to the others and keeps the way to them open.
type seeder struct {
	exchanger *Exchanger
	store     *seedStore
}

func newSeeder(e *Exchanger) *seeder {
	return &seeder{exchanger: e, store: newSeedStore(e)}
}

// run joins, then publishes seeds and tries nodes that are believed dead.
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

// join tries the seeds until another node is known: those of the settings
// first, then those of the store. The first read of the store is spread by full
// jitter, the later ones over a growing time.
func (s *seeder) join(ctx context.Context) {
	config := s.exchanger.config
	delay := config.StoreJitter
	for attempt := 1; ; attempt++ {
		if s.tryAll(ctx, s.exchanger.deps.Seeds) || s.known() {
			return
		}
		if !sleep(ctx, s.exchanger.jitter(delay)) {
			return
		}
		if s.known() || s.joinThroughStore(ctx, attempt) {
			return
		}
		delay = min(2*delay, config.MaxJoinDelay)
	}
}

// joinThroughStore tries the seeds of the own domain, then those of the others.
// When its domain has none the node becomes the first seed; the store lets only
// one node win, and the others find it at their next attempt. Seeds that do not
// answer repeatedly belong to hosts that are gone, and are replaced.
func (s *seeder) joinThroughStore(ctx context.Context, attempt int) bool {
	if s.store == nil {
		return false
	}
	own := s.exchanger.deps.Table.View().Self.FailureDomain
	addresses, err := s.store.read(ctx, own)
	if err != nil {
		return false
	}
	if s.tryAll(ctx, addresses) {
		return true
	}
	domains, err := s.store.domains(ctx)
	if err != nil {
		return false
	}
	for _, domain := range domains {
		if domain != own && s.tryDomain(ctx, domain) {
			return true
		}
	}
	stale := attempt >= attemptsBeforeReplacing
	if len(addresses) == 0 || stale {
		s.publish(ctx, stale)
	}
	return false
}

// publish writes the seeds of the own domain and looks for domains of which no
// node is known, so that domains that started apart find each other. It reports
// whether the seeds were written.
func (s *seeder) publish(ctx context.Context, overwrite bool) bool {
	if s.store == nil {
		return false
	}
	if err := s.store.publish(ctx, s.ownSeeds(), overwrite); err != nil {
		s.exchanger.deps.Logger.WithError(err).Debug("the seeds of the failure domain could not be written to the store")
		return false
	}
	for _, domain := range s.store.registered {
		if !s.domainKnown(domain) {
			s.tryDomain(ctx, domain)
		}
	}
	return true
}

func (s *seeder) tryDomain(ctx context.Context, domain string) bool {
	addresses, err := s.store.read(ctx, domain)
	return err == nil && s.tryAll(ctx, addresses)
}

// rejoin tries one node that is believed dead or one unknown seed.
func (s *seeder) rejoin(ctx context.Context) {
	gone := s.exchanger.deps.Table.Plan().Dead
	unknown := s.unknownSeeds()
	if len(gone)+len(unknown) == 0 {
		return
	}
	choice := int(s.exchanger.deps.Random() * float64(len(gone)+len(unknown)))
	if choice < len(gone) {
		if s.exchanger.exchangeWith(ctx, gone[choice], false, s.exchanger.config.ExchangeTimeout) != nil {
			s.exchanger.pool.discard(gone[choice].ControlAddress())
		}
		return
	}
	_ = s.exchanger.introduceTo(ctx, unknown[choice-len(gone)])
}

// tryAll introduces the node to the addresses in random order until one answers.
func (s *seeder) tryAll(ctx context.Context, addresses []string) bool {
	own := s.exchanger.deps.Table.View().Self.ControlAddress()
	for _, i := range s.order(len(addresses)) {
		if addresses[i] == own {
			continue
		}
		if s.exchanger.introduceTo(ctx, addresses[i]) == nil {
			s.exchanger.markJoined()
			return true
		}
	}
	return false
}

// order returns the numbers below n in random order.
func (s *seeder) order(n int) []int {
	order := make([]int, n)
	for i := range order {
		j := int(s.exchanger.deps.Random() * float64(i+1))
		order[i] = order[j]
		order[j] = i
	}
	return order
}

// known reports whether another node has made itself known meanwhile.
func (s *seeder) known() bool {
	if s.exchanger.isolated() {
		return false
	}
	s.exchanger.markJoined()
	return true
}

func (s *seeder) domainKnown(domain string) bool {
	own := s.exchanger.deps.Table.View().Self.FailureDomain
	return domain == own || slices.ContainsFunc(s.others(), func(r member.Record) bool {
		return r.FailureDomain == domain && !r.DeadOrLeft()
	})
}

func (s *seeder) others() []member.Record {
	view := s.exchanger.deps.Table.View()
	return slices.DeleteFunc(slices.Clone(view.Nodes()), func(r member.Record) bool { return r.ID == view.Self.ID })
}

// unknownSeeds returns the seeds of the settings that no live record names.
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

// ownSeeds returns control addresses of the own domain, the own first.
func (s *seeder) ownSeeds() []string {
	self := s.exchanger.deps.Table.View().Self
	addresses := []string{self.ControlAddress()}
	for _, record := range s.others() {
		if len(addresses) < maxSeeds && record.FailureDomain == self.FailureDomain && record.State == member.Alive {
			addresses = append(addresses, record.ControlAddress())
		}
	}
	return addresses
}

func (e *Exchanger) markJoined() {
	e.joinedOnce.Do(func() { close(e.joined) })
}
