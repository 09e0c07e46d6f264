package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

const (
	// claimTimeout bounds the wait for control before a claimed call.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds how long a caller waits until the outcome of its call
	// is recorded. The recording goes on after that.
	recordTimeout   = 3 * time.Second
	claimRetryAfter = time.Second
)

// claimStore records claims on the control leader.
type claimStore interface {
	// begin asks for a grant. A failure leaves open whether it was given.
	begin(ctx context.Context, b *wire.BeginClaim) (claimReply, error)
	// finish records an outcome, repeating until it is recorded or the entry
	// ends. It returns an error where that goes on in the background.
	finish(ctx context.Context, f *wire.FinishClaim) error
}

// claimReply is the answer of the control leader to a claim.
type claimReply struct {
	granted bool
	claim   *wire.Claim
	// repeated is true where an earlier copy of the claim may still arrive.
	mayDuplicate bool
}

// claims runs calls that must run at most once.
type claims struct {
	store claimStore
	log   *logrus.Entry
}

// runOnce claims the key before run is called and records the outcome
// afterwards. A repeat gets the recorded answer or is told what is known. A
// failure says "did not run" of the key as a whole, with every earlier sending:
// a grant proves that none of them ran.
// run is called at most once for the claim's token, and only by its grant.
func (c claims) runOnce(ctx context.Context, b *wire.BeginClaim, run func(context.Context) (*wire.RecordedAnswer, error)) (*wire.RecordedAnswer, error) {
	reply, err := c.store.begin(ctx, b)
	if err != nil {
		c.releaseToken(ctx, b)
		// This sending reached no endpoint, but an earlier one with the key may have.
		f := fail.From(err)
		if f.Code != fail.Overloaded && f.Code != fail.NoLease {
			f = fail.Wrap(err, fail.Unavailable, "the claim could not be recorded").WithRetryAfter(claimRetryAfter)
		}
		return nil, f.WithRan(fail.RanUnknown)
	}
	if !reply.granted && reply.mayDuplicate {
		c.releaseToken(ctx, b)
	}
	if !reply.granted && reply.claim.GetToken() == b.Token {
		// The grant came too late to be used: this entry was taken for dead.
		return nil, fail.New(fail.Unavailable, "the claim was lost before the call was sent").WithRetryAfter(claimRetryAfter)
	}
	if !reply.granted {
		return replayResponse(reply.claim, b.Digest)
	}
	response, err := run(ctx)
	finish := &wire.FinishClaim{Key: b.Key, Attempt: reply.claim.Attempt, State: claimOutcome(err), Answer: response}
	if recordErr := c.store.finish(ctx, finish); recordErr != nil {
		c.log.WithError(recordErr).Warn("outcome not recorded yet")
	}
	return response, err
}

// release gives up a token of which no grant was received.
func (c claims) releaseToken(ctx context.Context, b *wire.BeginClaim) {
	f := &wire.FinishClaim{
		Key: b.Key, Token: b.Token, Digest: b.Digest, KeyUnixMs: b.KeyUnixMs,
		State: wire.ClaimState_CLAIM_STATE_NOT_RUN,
	}
	if err := c.store.finish(ctx, f); err != nil {
		c.log.WithError(err).Warn("claim not released yet")
	}
}

func claimOutcome(err error) wire.ClaimState {
	switch {
	case err == nil:
		return wire.ClaimState_CLAIM_STATE_DONE
	case fail.From(err).Ran == fail.RanNo:
		return wire.ClaimState_CLAIM_STATE_NOT_RUN
	}
	return wire.ClaimState_CLAIM_STATE_UNKNOWN
}

// repeatAnswer answers a request whose key was claimed before.
func replayResponse(c *wire.Claim, digest uint64) (*wire.RecordedAnswer, error) {
	switch {
	case c == nil:
		return nil, fail.New(fail.KeyExpired, "the key is older than the records that are kept").WithRan(fail.RanUnknown)
	case c.Digest != digest:
		return nil, fail.New(fail.KeyReused, "the key was used with another request")
	case c.State == wire.ClaimState_CLAIM_STATE_DONE && c.Answer.GetDropped():
		return nil, fail.New(fail.OutcomeUnknown, "the first request with this key has run; its answer was too large to be kept").WithRan(fail.RanYes)
	case c.State == wire.ClaimState_CLAIM_STATE_DONE:
		return c.Answer, nil
	case c.State == wire.ClaimState_CLAIM_STATE_PENDING:
		return nil, fail.New(fail.InProgress, "the first request with this key is still in progress").WithRan(fail.RanUnknown).WithRetryAfter(claimRetryAfter)
	}
	return nil, fail.New(fail.OutcomeUnknown, "the first request with this key may have run; its outcome cannot be learned").WithRan(fail.RanUnknown)
}

// claimClient is the claim store behind the control leader.
type claimClient struct {
	control    *controlclient.Client
	background context.Context
}

func (c *claimClient) begin(ctx context.Context, b *wire.BeginClaim) (claimReply, error) {
	ctx, span := telemetry.StartSpan(ctx, "begin_claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply claimReply
	err := c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Control.BeginClaim(ctx, connect.NewRequest(b))
		if err != nil {
			f, _ := rpcerror.FromConnect(err)
			reply.mayDuplicate = reply.mayDuplicate || f.Ran != fail.RanNo
			return err
		}
		reply.granted, reply.claim = r.Msg.Granted, r.Msg.Claim
		return nil
	})
	return reply, err
}

func (c *claimClient) finish(ctx context.Context, f *wire.FinishClaim) error {
	ctx, span := telemetry.StartSpan(ctx, "finish_claim")
	defer span.End()
	recorded := make(chan error, 1)
	// The recording outlives the caller, and ends with the entry.
	background := telemetry.WithSpanOf(c.background, ctx)
	go func() {
		recorded <- c.control.Do(background, func(ctx context.Context, conn controlclient.Conn) error {
			_, err := conn.Control.FinishClaim(ctx, connect.NewRequest(f))
			return err
		})
	}()
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case err := <-recorded:
		return err
	case <-timer.C:
		return fail.New(fail.Unavailable, "control does not answer; the recording goes on")
	}
}
