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

// errOwnerUnavailable means that an owner was not reached or did not acknowledge the
// request in time.
var errOwnerUnavailable = errors.New("the owner of the shard does not answer")

// unresponsiveBackoff is how long an owner that did not acknowledge a request is not asked.
const unresponsiveBackoff = time.Second

// ownerClient sends requests to the owners of shards.
type ownerClient struct {
	conns      *connPool
	ackTimeout time.Duration
	metrics    *metrics
}

// submit asks an owner to record a request.
func (r *ownerClient) submit(ctx context.Context, address string, asked request) outcome {
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
	return outcome{holder: claimFromProto(reply.Holders[0])}
}

// call makes a unary call as a stream, because only a stream shows the headers
// with which the owner acknowledges the request before it answers.
func (r *ownerClient) call(ctx context.Context, address, method string, message, reply proto.Message) error {
	conn, err := r.conns.get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := r.startAckTimer(address, func() { cancel(errOwnerUnavailable) })
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
		r.conns.recordAck(address)
		err = stream.RecvMsg(reply)
	}
	return r.classify(ctx, address, err)
}

// startAckTimer starts a timer that gives up when the owner acknowledged no request
// at all for the ack timeout. An owner that is slow under load still
// acknowledges some, and giving it up would move the load to the store.
func (r *ownerClient) startAckTimer(address string, giveUp func()) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(maxRequestDuration, func() {
		if quiet := r.conns.sinceLastAck(address); quiet < r.ackTimeout {
			timer.Reset(r.ackTimeout - quiet)
			return
		}
		giveUp()
	})
	timer.Reset(r.ackTimeout)
	return timer
}

// classify tells an owner that does not answer from one that refused.
func (r *ownerClient) classify(ctx context.Context, address string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errOwnerUnavailable):
		r.metrics.unresponsiveOwners.Inc(1)
		r.conns.markUnresponsive(address)
		return errOwnerUnavailable
	case status.Code(err) == codes.Unavailable, status.Code(err) == codes.Unimplemented:
		return errOwnerUnavailable
	case status.Code(err) == codes.Aborted:
		return errReleased
	case status.Code(err) == codes.ResourceExhausted:
		return errQueueFull
	default:
		return err
	}
}
