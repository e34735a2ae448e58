package claim

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// maxClaimsPerRequest limits the claims of one message.
const maxClaimsPerRequest = 256

// server handles the requests of other nodes. A node serves every shard, whether
// or not its membership view makes it the owner: the compare-and-swap at the store
// is decisive.
type server struct {
	controlpb.UnimplementedClaimsServer
	controlpb.UnimplementedClaimReleasesServer
	service *Service
}

// Claim implements controlpb.ClaimsServer.
func (s *server) Claim(ctx context.Context, message *controlpb.ClaimRequest) (*controlpb.ClaimReply, error) {
	outcomes, err := s.submitAll(ctx, message.Claims, false)
	if err != nil {
		return nil, err
	}
	reply := &controlpb.ClaimReply{}
	for _, res := range outcomes {
		reply.Holders = append(reply.Holders, res.holder.toProto())
	}
	return reply, nil
}

// Release implements controlpb.ClaimReleasesServer.
func (s *server) Release(ctx context.Context, message *controlpb.ReleaseRequest) (*controlpb.ReleaseReply, error) {
	if _, err := s.submitAll(ctx, message.Claims, true); err != nil {
		return nil, err
	}
	return &controlpb.ReleaseReply{}, nil
}

// KeptAnswer implements controlpb.ClaimsServer.
func (s *server) KeptAnswer(_ context.Context, message *controlpb.KeptAnswerRequest) (*controlpb.KeptAnswerReply, error) {
	return s.service.responses.Lookup(message.Service, message.Key).toProto(), nil
}

// submitAll acknowledges the request, which lets the sender distinguish a slow
// store from an unresponsive owner, and records its claims.
func (s *server) submitAll(ctx context.Context, claims []*controlpb.Claim, release bool) ([]outcome, error) {
	if len(claims) > maxClaimsPerRequest {
		return nil, status.Errorf(codes.InvalidArgument, "the request has %d claims, want at most %d", len(claims), maxClaimsPerRequest)
	}
	if err := grpc.SendHeader(ctx, metadata.MD{}); err != nil {
		return nil, err
	}
	outcomes := make([]outcome, len(claims))
	var group errgroup.Group
	for i, message := range claims {
		group.Go(func() error {
			outcomes[i] = s.submit(ctx, request{claim: claimFromProto(message), release: release})
			return statusOf(outcomes[i].err)
		})
	}
	return outcomes, group.Wait()
}

func (s *server) submit(ctx context.Context, r request) outcome {
	if err := r.claim.Validate(); err != nil {
		return outcome{err: err}
	}
	res, _ := s.service.writer(r.claim).submit(ctx, r)
	return res
}

// statusOf returns the gRPC status of an error. Unavailable makes the sender try
// another owner.
func statusOf(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errReleased):
		return status.Error(codes.Aborted, err.Error())
	case errors.Is(err, errStopped):
		return status.Error(codes.Unavailable, err.Error())
	case errors.Is(err, errQueueFull):
		return status.Error(codes.ResourceExhausted, err.Error())
	case result.CodeOf(err) == result.BadRequest:
		return status.Error(codes.InvalidArgument, err.Error())
	default:
		return status.Error(codes.DeadlineExceeded, err.Error())
	}
}
