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
	// claimTimeout bounds the recording of a claim before the call is sent, and of
	// a deferred request.
	claimTimeout = 3 * time.Second
	// recordTimeout bounds how long a client waits until the outcome of its call
	// is recorded. After that, recording continues in the background.
	recordTimeout   = 3 * time.Second
	claimRetryAfter = time.Second
)

// claimStore records claims in the replicated state of the control plane.
type claimStore interface {
	// begin requests a grant. If it fails, the claim may or may not have been
	// granted.
	begin(ctx context.Context, b *wire.BeginClaim) (claimResponse, error)
	// finish records an outcome, and retries until it is recorded or the entry
	// stops. An error means that the outcome is not recorded yet; retries may
	// continue in the background.
	finish(ctx context.Context, f *wire.FinishClaim) error
}

// claimResponse is the response of the control leader to a claim.
type claimResponse struct {
	granted bool
	claim   *wire.Claim
	// mayDuplicate is set if an earlier copy of the claim may still reach the
	// control leader.
	mayDuplicate bool
}

// claims runs non-idempotent calls at most once.
type claims struct {
	store claimStore
	log   *logrus.Entry
}

// runOnce claims the key before it calls run, and records the outcome afterwards.
// A resent call gets the recorded response, or an error that states what is known
// of the first one. An error with RanNo refers to the key as a whole, including
// all earlier calls with it: a grant proves that none of them ran.
// run is called at most once for the claim's token, and only if that token was
// granted.
func (c claims) runOnce(ctx context.Context, b *wire.BeginClaim, run func(context.Context) (*wire.RecordedAnswer, error)) (*wire.RecordedAnswer, error) {
	resp, err := c.store.begin(ctx, b)
	if err != nil {
		c.releaseToken(ctx, b)
		// This call reached no endpoint, but an earlier one with the same key may have.
		f := fail.From(err)
		if f.Code != fail.Overloaded && f.Code != fail.NoLease {
			f = fail.Wrap(err, fail.Unavailable, "the claim could not be recorded").WithRetryAfter(claimRetryAfter)
		}
		return nil, f.WithRan(fail.RanUnknown)
	}
	if !resp.granted && resp.mayDuplicate {
		c.releaseToken(ctx, b)
	}
	if !resp.granted && resp.claim.GetToken() == b.Token {
		// The token was granted, but the claim was settled before the grant could be
		// used, because this entry was considered dead.
		return nil, fail.New(fail.Unavailable, "the claim was settled before the call was sent").WithRetryAfter(claimRetryAfter)
	}
	if !resp.granted {
		return replayResponse(resp.claim, b.Digest)
	}
	response, err := run(ctx)
	finish := &wire.FinishClaim{Key: b.Key, Attempt: resp.claim.Attempt, State: claimOutcome(err), Answer: response}
	if recordErr := c.store.finish(ctx, finish); recordErr != nil {
		c.log.WithError(recordErr).Warn("claim outcome not recorded yet")
	}
	return response, err
}

// releaseToken records that the token did not run, if its grant was not received.
func (c claims) releaseToken(ctx context.Context, b *wire.BeginClaim) {
	f := &wire.FinishClaim{
		Key: b.Key, Token: b.Token, Digest: b.Digest, KeyUnixMs: b.KeyUnixMs,
		State: wire.ClaimState_CLAIM_STATE_NOT_RUN,
	}
	if err := c.store.finish(ctx, f); err != nil {
		c.log.WithError(err).Warn("claim token not released yet")
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

// replayResponse returns the recorded response to a call whose key was claimed
// before, or an error that states what is known of the first call.
func replayResponse(c *wire.Claim, digest uint64) (*wire.RecordedAnswer, error) {
	switch {
	case c == nil:
		return nil, fail.New(fail.KeyExpired, "the key is older than the claim records that are retained").WithRan(fail.RanUnknown)
	case c.Digest != digest:
		return nil, fail.New(fail.KeyReused, "the key was used with another request")
	case c.State == wire.ClaimState_CLAIM_STATE_DONE && c.Answer.GetDropped():
		return nil, fail.New(fail.OutcomeUnknown, "the first request with this key has run; its response was too large to be recorded").WithRan(fail.RanYes)
	case c.State == wire.ClaimState_CLAIM_STATE_DONE:
		return c.Answer, nil
	case c.State == wire.ClaimState_CLAIM_STATE_PENDING:
		return nil, fail.New(fail.InProgress, "the first request with this key is still in flight").WithRan(fail.RanUnknown).WithRetryAfter(claimRetryAfter)
	}
	return nil, fail.New(fail.OutcomeUnknown, "the first request with this key may have run; its outcome cannot be determined").WithRan(fail.RanUnknown)
}

// claimClient is a claimStore that calls the control leader.
type claimClient struct {
	control    *controlclient.Client
	background context.Context
}

func (c *claimClient) begin(ctx context.Context, b *wire.BeginClaim) (claimResponse, error) {
	ctx, span := telemetry.StartSpan(ctx, "begin_claim")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var resp claimResponse
	err := c.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Control.BeginClaim(ctx, connect.NewRequest(b))
		if err != nil {
			f, _ := rpcerror.FromConnect(err)
			resp.mayDuplicate = resp.mayDuplicate || f.Ran != fail.RanNo
			return err
		}
		resp.granted, resp.claim = r.Msg.Granted, r.Msg.Claim
		return nil
	})
	return resp, err
}

func (c *claimClient) finish(ctx context.Context, f *wire.FinishClaim) error {
	ctx, span := telemetry.StartSpan(ctx, "finish_claim")
	defer span.End()
	recorded := make(chan error, 1)
	// Recording continues after the client's request ends, until the entry stops.
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
		return fail.New(fail.Unavailable, "the control plane has not recorded the outcome yet; retrying in the background")
	}
}
