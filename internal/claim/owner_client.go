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

// errOwnerUnavailable means that an owner was not reached or did not acknowledge
// the request in time.
var errOwnerUnavailable = errors.New("the owner of the shard is unreachable or did not acknowledge the request")

// unresponsiveBackoff is how long no request is sent to an owner that did not
// acknowledge one.
const unresponsiveBackoff = time.Second

// ownerClient sends requests to the owners of shards.
type ownerClient struct {
	conns      *connPool
	ackTimeout time.Duration
	metrics    *metrics
}

// submit asks an owner to record a request.
func (c *ownerClient) submit(ctx context.Context, address string, r request) outcome {
	if r.release {
		message := &controlpb.ReleaseRequest{Claims: []*controlpb.Claim{r.claim.toProto()}}
		err := c.call(ctx, address, controlpb.ClaimReleases_Release_FullMethodName, message, &controlpb.ReleaseReply{})
		return outcome{err: err}
	}
	message := &controlpb.ClaimRequest{Claims: []*controlpb.Claim{r.claim.toProto()}}
	reply := &controlpb.ClaimReply{}
	if err := c.call(ctx, address, controlpb.Claims_Claim_FullMethodName, message, reply); err != nil {
		return outcome{err: err}
	}
	if len(reply.Holders) != 1 {
		return outcome{err: errors.Errorf("the owner at %s returned %d holders for one claim, want 1", address, len(reply.Holders))}
	}
	return outcome{holder: claimFromProto(reply.Holders[0])}
}

// call makes a unary call as a stream, because only a stream exposes the headers
// by which the owner acknowledges the request before it responds.
func (c *ownerClient) call(ctx context.Context, address, method string, message, reply proto.Message) error {
	conn, release, err := c.conns.get(address)
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ackTimer := c.startAckTimer(address, func() { cancel(errOwnerUnavailable) })
	defer ackTimer.Stop()
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
		ackTimer.Stop()
		c.conns.recordAck(address)
		err = stream.RecvMsg(reply)
	}
	return c.classify(ctx, address, err)
}

// startAckTimer starts a timer that calls onTimeout once the owner has not
// acknowledged any request for the ack timeout. An owner that is slow under load
// still acknowledges some; bypassing it would move the load to the store.
func (c *ownerClient) startAckTimer(address string, onTimeout func()) *time.Timer {
	var timer *time.Timer
	timer = time.AfterFunc(maxRequestDuration, func() {
		if elapsed := c.conns.sinceLastAck(address); elapsed < c.ackTimeout {
			timer.Reset(c.ackTimeout - elapsed)
			return
		}
		onTimeout()
	})
	timer.Reset(c.ackTimeout)
	return timer
}

// classify maps the error of a call. errOwnerUnavailable makes the caller try
// another owner; any other error is final.
func (c *ownerClient) classify(ctx context.Context, address string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errOwnerUnavailable):
		c.metrics.unresponsiveOwners.Inc(1)
		c.conns.markUnresponsive(address)
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
