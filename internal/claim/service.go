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
	// maxWait bounds a request whose context has no deadline.
	maxWait = 30 * time.Second
	// keptAnswerTimeout bounds the question to a node that may be frozen.
	keptAnswerTimeout = time.Second
)

// Service claims keys for the calls of its node and records claims for other
// nodes. It is safe for concurrent use.
type Service struct {
	config  Config
	view    func() *member.View
	client  store.Client
	now     func() time.Time
	metrics *metrics
	answers *ResponseCache
	remote  *remote
	abandon *abandoner

	base   context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	writers map[int]*writer
}

var _ Claimer = (*Service)(nil)

// NewService returns a service that is ready to claim. Register makes it answer
// other nodes, and Close ends it.
func NewService(config Config, view func() *member.View, client store.Client, dialer dial.Dialer, now func() time.Time, scope tally.Scope) (*Service, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	metrics := newMetrics(scope)
	base, cancel := context.WithCancel(context.Background())
	s := &Service{
		config:  config,
		view:    view,
		client:  client,
		now:     now,
		metrics: metrics,
		answers: newAnswers(now, metrics),
		remote:  &remote{conns: newConnPool(dialer, now), ackTimeout: config.AckTimeout, metrics: metrics},
		base:    base,
		cancel:  cancel,
		writers: make(map[int]*writer),
	}
	s.abandon = newAbandoner(s.Release, metrics)
	go s.abandon.run(base)
	return s, nil
}

// Register adds the service to a node's control port.
func (s *Service) Register(registrar grpc.ServiceRegistrar) {
	handler := &server{service: s}
	controlpb.RegisterClaimsServer(registrar, handler)
	controlpb.RegisterClaimReleasesServer(registrar, handler)
}

// Responses returns the kept answers of the calls that this node claimed.
func (s *Service) Responses() *ResponseCache { return s.answers }

// Close ends the background work. Waiting requests fail.
func (s *Service) Close() {
	s.cancel()
	s.remote.conns.close()
}

// Claim implements Claimer. When the outcome is unknown, the claim is released
// in the background, so that a repeat of the call can win later.
func (s *Service) Claim(ctx context.Context, wanted Claim) (Claim, error) {
	if err := wanted.Validate(); err != nil {
		return Claim{}, err
	}
	sent := wanted.withNewID()
	answer, mayBeStored := s.submit(ctx, request{claim: sent})
	if answer.err == nil && answer.holder.WonBy(sent.ID) {
		wanted.storedID = sent.ID
		return wanted, nil
	}
	if answer.err == nil {
		return answer.holder, nil
	}
	if mayBeStored {
		s.abandon.add(sent)
	}
	return Claim{}, result.Wrap(answer.err, result.ClaimUnavailable,
		"the call to %s with key %q was not claimed", wanted.Service, wanted.Key)
}

// Release implements Claimer.
func (s *Service) Release(ctx context.Context, won Claim) error {
	if err := won.Validate(); err != nil {
		return err
	}
	answer, _ := s.submit(ctx, request{claim: won.asStored(), release: true})
	if answer.err == nil {
		return nil
	}
	return result.Wrap(answer.err, result.StoreUnavailable,
		"the release of key %q of %s was not recorded", won.Key, won.Service)
}

// RetainedResponse asks the node that holds a claim for the answer that it kept. A
// node that restarted since, or does not answer, knows nothing.
func (s *Service) RetainedResponse(ctx context.Context, holder Claim) Response {
	if holder.Node == s.config.Node {
		if holder.Incarnation != s.config.Incarnation {
			return Response{}
		}
		return s.answers.Lookup(holder.Service, holder.Key)
	}
	record, found := s.view().Node(holder.Node)
	if !found || record.Incarnation != holder.Incarnation {
		return Response{}
	}
	conn, err := s.remote.conns.get(record.ControlAddress())
	if err != nil {
		return Response{}
	}
	ctx, cancel := context.WithTimeout(ctx, keptAnswerTimeout)
	defer cancel()
	message := &controlpb.KeptAnswerRequest{Service: holder.Service, Key: holder.Key}
	reply, err := controlpb.NewClaimsClient(conn).KeptAnswer(ctx, message)
	if err != nil {
		return Response{}
	}
	return answerFromProto(reply)
}

// submit hands a request to the first owner of its shard that answers, and
// writes to the store itself when none does. The request keeps its id, so it
// does no harm when an owner records it late.
func (s *Service) submit(ctx context.Context, r request) (answer outcome, mayBeStored bool) {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	asked := false
	for _, owner := range ownersOf(ShardOf(r.claim.Key), s.view(), s.config.StoreRegion) {
		if owner.ID == s.config.Node {
			answer, stored := s.writer(r.claim).submit(ctx, r)
			return answer, stored || asked
		}
		answer := s.remote.submit(ctx, owner.ControlAddress(), r)
		if !errors.Is(answer.err, errNoOwner) {
			return answer, asked || !errors.Is(answer.err, errQueueFull)
		}
		asked = true
	}
	s.metrics.direct.Inc(1)
	answer, stored := s.writer(r.claim).submit(ctx, r)
	return answer, stored || asked
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
