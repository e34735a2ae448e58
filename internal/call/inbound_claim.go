package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// claim claims the key of a call. A refusal means that this attempt does not
// run.
func (in *inbound) claim(ctx context.Context, call *inboundCall) *refusal {
	r := call.request
	self := in.deps.View().Self
	proposed := claim.Claim{
		Service:     r.service,
		Key:         r.key,
		Fingerprint: call.fingerprint,
		Node:        self.ID,
		Incarnation: self.Incarnation,
		At:          in.deps.Now(),
		ID:          r.id + "/" + strconv.Itoa(r.attempt),
	}
	inForce, err := in.deps.Claimer.Claim(ctx, proposed)
	switch {
	case err != nil:
		return refuseError(err, result.ClaimUnavailable)
	case inForce.ID == proposed.ID:
		call.claimed = &inForce
		if refusal := in.checkDeadline(ctx, call); refusal != nil {
			return refusal
		}
		call.end = in.running.begin(r.service, r.key)
		return nil
	case inForce.Fingerprint != call.fingerprint:
		return refuse(result.KeyReused, "the key "+strconv.Quote(r.key)+" was used before for another request of service "+r.service)
	default:
		refusal := refuse(result.RepeatUnknown, "the call with key "+strconv.Quote(r.key)+" was claimed before by node "+inForce.Node)
		refusal.claimedBy, refusal.fingerprint = inForce.Node, inForce.Fingerprint
		return refusal
	}
}

// checkDeadline refuses a call whose deadline passed while its key was being
// claimed. A process that was suspended meanwhile must not run a call that its
// caller has repeated elsewhere.
func (in *inbound) checkDeadline(ctx context.Context, call *inboundCall) *refusal {
	if ctx.Err() == nil && in.deps.Now().Before(call.request.deadline) {
		return nil
	}
	return in.releaseClaim(call, refuse(result.DeadlineNotRun, "the deadline passed while the call was being claimed"))
}

// releaseClaim releases the claim of a call that did not run. If the release
// cannot be recorded, a repeat would be refused with an unknown run state, so
// this call gets one as well.
func (in *inbound) releaseClaim(call *inboundCall, refusal *refusal) *refusal {
	if call.claimed == nil || refusal.run != result.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), in.config.ReleaseTimeout)
	defer cancel()
	heldClaim := *call.claimed
	call.claimed = nil
	err := in.deps.Claimer.Release(ctx, heldClaim)
	if err == nil {
		return refusal
	}
	in.metrics.releaseFailed.Inc(1)
	unknown := refuse(result.OutcomeUnknown, "the claim of the call could not be released ("+err.Error()+"): "+refusal.message)
	unknown.cancelled = refusal.cancelled
	return unknown
}

// retainedResponse waits for the call to end and returns its retained response,
// or nil when there is none. The claim has shown that the fingerprint belongs
// to the call.
func (in *inbound) retainedResponse(ctx context.Context, service, key string, fingerprint uint64) *response {
	in.running.wait(ctx, service, key)
	status, header, body, ok := in.deps.Retained.Lookup(service, key, fingerprint)
	if !ok {
		return nil
	}
	in.metrics.retainedResponses.Inc(1)
	return &response{
		status: status,
		header: header,
		length: int64(len(body)),
		body:   bytes.NewReader(body),
		finish: func(bool) {},
	}
}

// detach returns a context that ends at the deadline but not when the caller
// disconnects. The outcome of a claimed call that is cancelled at the server
// would stay unknown forever, and the loss of an outbound proxy cannot be
// distinguished from a caller that cancelled its call.
func detach(ctx context.Context, call *inboundCall) context.Context {
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.request.deadline)
	end := call.end
	call.end = func() {
		cancel()
		end()
	}
	return detached
}

// retainWhenComplete retains the response to a non-idempotent call once it was
// read to its end.
func (in *inbound) retainWhenComplete(call *inboundCall, resp *response) {
	buffer := &boundedBuffer{limit: in.config.MaxRetainedResponseBytes}
	resp.body = io.TeeReader(resp.body, buffer)
	finish := resp.finish
	resp.finish = func(complete bool) {
		if !complete {
			// Read the rest for the repeat of a caller that has lost this
			// response.
			_, err := io.CopyN(io.Discard, resp.body, int64(in.config.MaxRetainedResponseBytes)+1)
			complete = err == io.EOF
		}
		if complete {
			in.retain(call, resp, buffer)
		}
		finish(complete)
		call.end()
	}
}

func (in *inbound) retain(call *inboundCall, resp *response, buffer *boundedBuffer) {
	if buffer.overflowed {
		in.metrics.retainedTooLarge.Inc(1)
		return
	}
	header := make(http.Header)
	resp.copyHeader(header)
	in.deps.Retained.Retain(call.request.service, call.request.key, call.fingerprint, resp.status, header, buffer.Bytes())
}
