package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxRequestDuration limits a request whose context has no earlier deadline.
	maxRequestDuration = 30 * time.Second
	// retainedResponseTimeout limits the lookup at a node that may be unresponsive.
	retainedResponseTimeout = time.Second
)

// Service claims keys for the calls of its node and records claims for other
// nodes. It is safe for concurrent use.
type Service struct {
	config    Config
	view      func() *member.View
	client    store.Client
	now       func() time.Time
	metrics   *metrics
	responses *ResponseCache
	owners    *ownerClient
	releaser  *backgroundReleaser

	base   context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	writers map[int]*writer
}

var _ Claimer = (*Service)(nil)

// NewService returns a service that is ready to claim. Register makes it serve
// other nodes, and Close stops it.
func NewService(config Config, view func() *member.View, client store.Client, dialer dial.Dialer, now func() time.Time, scope tally.Scope) (*Service, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	metrics := newMetrics(scope)
	base, cancel := context.WithCancel(context.Background())
	s := &Service{
		config:    config,
		view:      view,
		client:    client,
		now:       now,
		metrics:   metrics,
		responses: newResponseCache(now, metrics),
		owners:    &ownerClient{conns: newConnPool(dialer, now), ackTimeout: config.AckTimeout, metrics: metrics},
		base:      base,
		cancel:    cancel,
		writers:   make(map[int]*writer),
	}
	s.releaser = newBackgroundReleaser(s.Release, metrics)
	go s.releaser.run(base)
	return s, nil
}

// Register adds the service to a node's control port.
func (s *Service) Register(registrar grpc.ServiceRegistrar) {
	handler := &server{service: s}
	controlpb.RegisterClaimsServer(registrar, handler)
	controlpb.RegisterClaimReleasesServer(registrar, handler)
}

// Responses returns the cache of the responses of calls that this node claimed.
func (s *Service) Responses() *ResponseCache { return s.responses }

// Close stops the background work. Queued requests fail.
func (s *Service) Close() {
	s.cancel()
	s.owners.conns.close()
}

// Claim implements Claimer. When the outcome is unknown, the claim is released in
// the background, so that a repeat of the call can be granted later.
func (s *Service) Claim(ctx context.Context, requested Claim) (Claim, error) {
	if err := requested.Validate(); err != nil {
		return Claim{}, err
	}
	sent := requested.withNewID()
	res, maybeStored := s.submit(ctx, request{claim: sent})
	if res.err == nil && res.holder.WonBy(sent.ID) {
		requested.storedID = sent.ID
		return requested, nil
	}
	if res.err == nil {
		return res.holder, nil
	}
	if maybeStored {
		s.releaser.add(sent)
	}
	return Claim{}, result.Wrap(res.err, result.ClaimUnavailable,
		"no claim was recorded for the call to %s with key %q", requested.Service, requested.Key)
}

// Release implements Claimer.
func (s *Service) Release(ctx context.Context, granted Claim) error {
	if err := granted.Validate(); err != nil {
		return err
	}
	res, _ := s.submit(ctx, request{claim: granted.asStored(), release: true})
	if res.err == nil {
		return nil
	}
	return result.Wrap(res.err, result.StoreUnavailable,
		"the release of key %q of service %s was not recorded", granted.Key, granted.Service)
}

// RetainedResponse asks the node that holds a claim for the response that it
// retains. The state is ResponseUnknown when that node has restarted since or does
// not respond.
func (s *Service) RetainedResponse(ctx context.Context, holder Claim) Response {
	if holder.Node == s.config.Node {
		if holder.Incarnation != s.config.Incarnation {
			return Response{}
		}
		return s.responses.Lookup(holder.Service, holder.Key)
	}
	record, found := s.view().Node(holder.Node)
	if !found || record.Incarnation != holder.Incarnation {
		return Response{}
	}
	conn, release, err := s.owners.conns.get(record.ControlAddress())
	if err != nil {
		return Response{}
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, retainedResponseTimeout)
	defer cancel()
	message := &controlpb.KeptAnswerRequest{Service: holder.Service, Key: holder.Key}
	reply, err := controlpb.NewClaimsClient(conn).KeptAnswer(ctx, message)
	if err != nil {
		return Response{}
	}
	return responseFromProto(reply)
}

// submit sends a request to the first owner of its shard that responds, and writes
// to the store itself when none does. All attempts have the same id, so a late
// write by an earlier owner is harmless.
func (s *Service) submit(ctx context.Context, r request) (res outcome, maybeStored bool) {
	ctx, cancel := context.WithTimeout(ctx, maxRequestDuration)
	defer cancel()
	sentToOwner := false
	for _, owner := range ownersOf(ShardOf(r.claim.Key), s.view(), s.config.StoreRegion) {
		if owner.ID == s.config.Node {
			res, stored := s.writer(r.claim).submit(ctx, r)
			return res, stored || sentToOwner
		}
		res := s.owners.submit(ctx, owner.ControlAddress(), r)
		if !errors.Is(res.err, errOwnerUnavailable) {
			return res, sentToOwner || !errors.Is(res.err, errQueueFull)
		}
		sentToOwner = true
	}
	s.metrics.directWrites.Inc(1)
	res, stored := s.writer(r.claim).submit(ctx, r)
	return res, stored || sentToOwner
}

// writer returns the writer of a claim's shard.
func (s *Service) writer(c Claim) *writer {
	shard := ShardOf(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writers[shard] == nil {
		s.writers[shard] = newWriter(s.base, shard, s.client, s.config, s.now, s.metrics)
	}
	return s.writers[shard]
}
