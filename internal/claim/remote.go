package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// errNoOwner means that an owner was not reached or did not acknowledge the
// request in time.
var errNoOwner = errors.New("the owner of the shard does not answer")

// silence is how long an owner that did not acknowledge a request is not asked.
const silence = time.Second

// remote sends requests to the owners of shards.
type remote struct {
	conns      *connPool
	ackTimeout time.Duration
	metrics    *metrics
}

// submit asks an owner to record a request.
func (r *remote) submit(ctx context.Context, address string, asked request) outcome {
	if asked.release {
		message := &controlpb.ReleaseRequest{Claims: []*controlpb.Claim{asked.claim.toProto()}}
		err := r.call(ctx, address, controlpb.ClaimReleases_Release_FullMethodName, message, &controlpb.ReleaseReply{})
		return outcome{err: err}
	}
	message := &controlpb.ClaimRequest{Claims: []*controlpb.Claim{asked.claim.toProto()}}
	reply := &controlpb.ClaimReply{}
	if err := r.call(ctx, address, controlpb.Claims_Claim_FullMethodName, message, reply); err != nil {
		return outcome{err: err}
	}
	if len(reply.Holders) != 1 {
		return outcome{err: errors.Errorf("the owner at %s answered %d holders for one claim", address, len(reply.Holders))}
	}
	return outcome{holder: fromProto(reply.Holders[0])}
}

// call makes a unary call as a stream, because only a stream shows the headers
// with which the owner acknowledges the request before it answers.
func (r *remote) call(ctx context.Context, address, method string, message, reply proto.Message) error {
	conn, err := r.conns.get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := r.whenSilent(address, func() { cancel(errNoOwner) })
	defer silent.Stop()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{}, method)
	if err == nil {
		err = stream.SendMsg(message)
	}
	if err == nil {
		err = stream.CloseSend()
	}
	if err == nil {
		_, err = stream.Header()
	}
	if err == nil {
		silent.Stop()
		r.conns.heard(address)
		err = stream.RecvMsg(reply)
	}
	return r.classify(ctx, address, err)
}

// whenSilent starts a timer that gives up when the owner acknowledged no request
// at all for the ack timeout. An owner that is slow under load still
// acknowledges some, and giving it up would move the load to the store.
func (r *remote) whenSilent(address string, giveUp func()) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(maxWait, func() {
		if quiet := r.conns.quiet(address); quiet < r.ackTimeout {
			timer.Reset(r.ackTimeout - quiet)
			return
		}
		giveUp()
	})
	timer.Reset(r.ackTimeout)
	return timer
}

// classify tells an owner that does not answer from one that refused.
func (r *remote) classify(ctx context.Context, address string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errNoOwner):
		r.metrics.silentOwners.Inc(1)
		r.conns.silence(address)
		return errNoOwner
	case status.Code(err) == codes.Unavailable, status.Code(err) == codes.Unimplemented:
		return errNoOwner
	case status.Code(err) == codes.Aborted:
		return errReleased
	case status.Code(err) == codes.ResourceExhausted:
		return errQueueFull
	default:
		return err
	}
}
