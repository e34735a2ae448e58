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

// claimed is a claim that was won.
type claimed = claim.Claim

// claim claims the key of a call. A refusal means that this attempt runs
// nothing.
func (g *gate) claim(ctx context.Context, call *running) *refusal {
	r := call.request
	self := g.deps.View().Self
	wanted := claim.Claim{
		Service:     r.service,
		Key:         r.key,
		Fingerprint: call.fingerprint,
		Node:        self.ID,
		Incarnation: self.Incarnation,
		At:          g.deps.Now(),
		ID:          r.id + "/" + strconv.Itoa(r.attempt),
	}
	inForce, err := g.deps.Claimer.Claim(ctx, wanted)
	switch {
	case err != nil:
		return refuseError(err, result.ClaimUnavailable)
	case inForce.ID == wanted.ID:
		call.claimed = &inForce
		if refused := g.checkClaimAge(ctx, call); refused != nil {
			return refused
		}
		call.end = g.running.begin(r.service, r.key)
		return nil
	case inForce.Fingerprint != call.fingerprint:
		return refuse(result.KeyReused, "the key "+strconv.Quote(r.key)+" was used before for another request of service "+r.service)
	default:
		refused := refuse(result.RepeatUnknown, "the call with key "+strconv.Quote(r.key)+" was claimed before by node "+inForce.Node)
		refused.claimedBy, refused.fingerprint = inForce.Node, inForce.Fingerprint
		return refused
	}
}

// checkClaimAge refuses a call whose deadline passed while it was claimed. A
// gate that was frozen meanwhile must not run a call that its caller has
// repeated elsewhere.
func (g *gate) checkClaimAge(ctx context.Context, call *running) *refusal {
	if ctx.Err() == nil && g.deps.Now().Before(call.request.deadline) {
		return nil
	}
	return g.withdraw(call, refuse(result.DeadlineNotRun, "the deadline passed while the call was being claimed"))
}

// withdraw releases the claim of a call that did not run. When the release
// cannot be recorded, a repeat would be refused as unknown, so this call is too.
func (g *gate) withdraw(call *running, refused *refusal) *refusal {
	if call.claimed == nil || refused.run != result.NotRun {
		return refused
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.config.ReleaseTimeout)
	defer cancel()
	won := *call.claimed
	call.claimed = nil
	err := g.deps.Claimer.Release(ctx, won)
	if err == nil {
		return refused
	}
	g.metrics.releaseFailed.Inc(1)
	unknown := refuse(result.OutcomeUnknown, "the claim of the call could not be withdrawn ("+err.Error()+"): "+refused.message)
	unknown.cancelled = refused.cancelled
	return unknown
}

// kept returns the kept answer of a call, once the call has ended; nil when there
// is none. The claim has shown that the fingerprint is that of the call.
func (g *gate) kept(ctx context.Context, service, key string, fingerprint uint64) *answer {
	g.running.wait(ctx, service, key)
	status, header, body, ok := g.deps.Retained.Lookup(service, key, fingerprint)
	if !ok {
		return nil
	}
	g.metrics.keptAnswers.Inc(1)
	return &answer{
		status: status,
		header: header,
		length: int64(len(body)),
		body:   bytes.NewReader(body),
		finish: func(bool) {},
	}
}

// detach returns a context that ends at the deadline but not when the caller is
// gone. A claimed call that is cancelled at the server would be unknown for ever,
// and a front that was lost looks like a caller who gave up.
func detach(ctx context.Context, call *running) context.Context {
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.request.deadline)
	end := call.end
	call.end = func() {
		cancel()
		end()
	}
	return detached
}

// keepWhole keeps the answer of a non-idempotent call once it was read to its
// end.
func (g *gate) keepWhole(call *running, found *answer) {
	copied := &boundedBuffer{limit: g.config.KeptAnswerBytes}
	found.body = io.TeeReader(found.body, copied)
	finish := found.finish
	found.finish = func(whole bool) {
		if !whole {
			// The rest is read for the repeat of a caller who has lost this answer.
			_, err := io.CopyN(io.Discard, found.body, int64(g.config.KeptAnswerBytes)+1)
			whole = err == io.EOF
		}
		if whole {
			g.keep(call, found, copied)
		}
		finish(whole)
		call.end()
	}
}

func (g *gate) keep(call *running, found *answer, copied *boundedBuffer) {
	if copied.overflown {
		g.metrics.keptTooLarge.Inc(1)
		return
	}
	header := make(http.Header)
	found.copyHeader(header)
	g.deps.Retained.Retain(call.request.service, call.request.key, call.fingerprint, found.status, header, copied.Bytes())
}
