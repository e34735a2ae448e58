package gossip

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Keys in the store. The store cannot list keys, so one key holds the names of the
// domains.
const (
	seedKeyPrefix  = "seeds/"
	seedDomainsKey = "seed-domains"
)

// Limits of what is read from and written to the store.
const (
	maxSeeds         = 4
	maxSeedDomains   = 64
	registerAttempts = 5
)

// storeTimeout is the time allowed for one call to the store.
const storeTimeout = time.Second

// seedStore reads and writes seeds in the store.
type seedStore struct {
	client   store.Client
	counters *counters
	domain   string
	ttl      time.Duration

	lease       store.LeaseID
	lastWritten []string
	revision    store.Revision
	// registeredDomains holds the domains in the store at the time when the local
	// domain was registered; nil before that.
	registeredDomains []string
}

// newSeedStore returns nil when there is no store.
func newSeedStore(e *Exchanger) *seedStore {
	if e.deps.Store == nil {
		return nil
	}
	return &seedStore{
		client:   e.deps.Store,
		counters: e.counters,
		domain:   e.deps.Table.View().Self.FailureDomain,
		ttl:      e.config.SeedTTL,
	}
}

// read returns the seeds of a domain, which may be none.
func (s *seedStore) read(ctx context.Context, domain string) ([]string, error) {
	var addresses []string
	_, err := s.get(ctx, seedKeyPrefix+domain, &addresses)
	return addresses[:min(len(addresses), maxSeeds)], err
}

// domains returns all domains that have ever written seeds.
func (s *seedStore) domains(ctx context.Context) ([]string, error) {
	var domains []string
	_, err := s.get(ctx, seedDomainsKey, &domains)
	return domains[:min(len(domains), maxSeedDomains)], err
}

// publish writes the seeds of the local domain under a lease, or renews the lease
// if they are unchanged. Without overwrite it only creates the key, and returns an
// error that wraps store.ErrConflict if it exists.
func (s *seedStore) publish(ctx context.Context, addresses []string, overwrite bool) error {
	if s.lease != 0 && slices.Equal(s.lastWritten, addresses) {
		if s.keepAlive(ctx) == nil {
			return nil
		}
	}
	if s.registeredDomains == nil {
		if err := s.register(ctx); err != nil {
			return err
		}
	}
	err := s.write(ctx, addresses)
	if err == nil || !overwrite || !errors.Is(err, store.ErrConflict) {
		return err
	}
	if err := s.readRevision(ctx); err != nil {
		return err
	}
	return s.write(ctx, addresses)
}

func (s *seedStore) keepAlive(ctx context.Context) error {
	ctx, cancel := s.startCall(ctx)
	defer cancel()
	err := s.client.KeepAlive(ctx, s.lease)
	if err != nil {
		s.lease = 0
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		// A restored store may have lost the list of domains too.
		s.registeredDomains = nil
	}
	return err
}

func (s *seedStore) write(ctx context.Context, addresses []string) error {
	data, err := json.Marshal(addresses)
	if err != nil {
		return errors.Wrap(err, "encode the seeds")
	}
	if err := s.grantLease(ctx); err != nil {
		return err
	}
	ctx, cancel := s.startCall(ctx)
	defer cancel()
	revision, err := s.client.CompareAndSwap(ctx, seedKeyPrefix+s.domain, s.revision, data, s.lease)
	if err != nil {
		// The response may have been lost, or the lease may have expired.
		s.lastWritten = nil
		s.lease = 0
		return errors.Wrapf(err, "write the key %s", seedKeyPrefix+s.domain)
	}
	s.revision = revision
	s.lastWritten = addresses
	return nil
}

// readRevision reads the revision needed to overwrite the value of another node, or
// a local write whose response was lost.
func (s *seedStore) readRevision(ctx context.Context) error {
	var ignored []string
	revision, err := s.get(ctx, seedKeyPrefix+s.domain, &ignored)
	if err != nil {
		return err
	}
	s.revision = revision
	return nil
}

func (s *seedStore) grantLease(ctx context.Context) error {
	if s.lease != 0 {
		return nil
	}
	ctx, cancel := s.startCall(ctx)
	defer cancel()
	lease, err := s.client.Grant(ctx, s.ttl)
	if err != nil {
		return errors.Wrap(err, "grant the lease for the seeds")
	}
	s.lease = lease
	return nil
}

// register adds the local domain to the list of domains.
func (s *seedStore) register(ctx context.Context) error {
	for range registerAttempts {
		var domains []string
		revision, err := s.get(ctx, seedDomainsKey, &domains)
		if err != nil {
			return err
		}
		if slices.Contains(domains, s.domain) {
			s.registeredDomains = domains
			return nil
		}
		domains = append(domains[:min(len(domains), maxSeedDomains-1)], s.domain)
		err = s.writeDomains(ctx, revision, domains)
		if err == nil {
			s.registeredDomains = domains
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return errors.Errorf("key %s was changed concurrently in all %d attempts to write it", seedDomainsKey, registerAttempts)
}

func (s *seedStore) writeDomains(ctx context.Context, revision store.Revision, domains []string) error {
	data, err := json.Marshal(domains)
	if err != nil {
		return errors.Wrap(err, "encode the failure domains")
	}
	ctx, cancel := s.startCall(ctx)
	defer cancel()
	_, err = s.client.CompareAndSwap(ctx, seedDomainsKey, revision, data, 0)
	return errors.Wrapf(err, "write the key %s", seedDomainsKey)
}

// get decodes the value of a key. If the key does not exist, value stays unchanged
// and the revision is 0.
func (s *seedStore) get(ctx context.Context, key string, value *[]string) (store.Revision, error) {
	ctx, cancel := s.startCall(ctx)
	defer cancel()
	stored, err := s.client.Get(ctx, key)
	if err != nil {
		return 0, errors.Wrapf(err, "read the key %s", key)
	}
	if stored.Revision == 0 || len(stored.Data) == 0 {
		return stored.Revision, nil
	}
	return stored.Revision, errors.Wrapf(json.Unmarshal(stored.Data, value), "decode the key %s", key)
}

// startCall counts a call and returns its context with storeTimeout.
func (s *seedStore) startCall(ctx context.Context) (context.Context, context.CancelFunc) {
	s.counters.storeCalls.Inc(1)
	return context.WithTimeout(ctx, storeTimeout)
}
