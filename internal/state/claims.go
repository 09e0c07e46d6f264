package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/wire"
)

// maxSpentTokens bounds the number of ended tokens that a claim records.
const maxSpentTokens = 32

// Claim returns the record of an idempotency key, or nil.
func (m *Machine) Claim(key string) *wire.Claim {
	c, ok := m.claims[key]
	if !ok {
		return nil
	}
	return clone(c)
}

// beginClaim grants an idempotency key to one holder. Applied is true if the
// holder may run the request; otherwise Claim holds the record of the earlier
// attempt.
func (m *Machine) beginClaim(b *wire.BeginClaim, now int64) *wire.CommandResult {
	old := m.claims[b.Key]
	holder := m.entries[b.HolderEntry]
	switch {
	case !holder.GetLive() || holder.Incarnation != b.HolderIncarnation:
		// A claim granted after its holder has died would never be finished.
		return &wire.CommandResult{Reason: "the incarnation of the holder is not live", HolderNotLive: true}
	case old == nil && b.KeyUnixMs < m.claimsExpiredBefore:
		return rejected("the idempotency key is older than the retention of claims")
	case old == nil && b.MaxClaims > 0 && uint64(len(m.claims)) >= b.MaxClaims:
		return &wire.CommandResult{Reason: "the maximum number of claims is reached", Full: true}
	case old.GetState() == wire.ClaimState_CLAIM_STATE_PENDING && old.Token == b.Token && old.Digest == b.Digest:
		return &wire.CommandResult{Applied: true, Claim: clone(old)}
	case old != nil && (old.Digest != b.Digest || old.State != wire.ClaimState_CLAIM_STATE_NOT_RUN):
		return &wire.CommandResult{Claim: clone(old)}
	case slices.Contains(old.GetSpentTokens(), xxhash.Sum64String(b.Token)):
		return &wire.CommandResult{Claim: clone(old), Reason: "the token of the claim has ended"}
	}
	c := &wire.Claim{
		Key: b.Key, Digest: b.Digest, State: wire.ClaimState_CLAIM_STATE_PENDING,
		HolderEntry: b.HolderEntry, HolderIncarnation: b.HolderIncarnation,
		Attempt: old.GetAttempt() + 1, ClaimedUnixMs: now, KeyUnixMs: b.KeyUnixMs, Token: b.Token,
		SpentTokens: old.GetSpentTokens(),
	}
	m.claims[b.Key] = c
	return &wire.CommandResult{Applied: true, Claim: clone(c)}
}

// finishClaim records the outcome that the holder of the attempt reports. An
// unknown outcome may be replaced by a known one; a known one never changes.
func (m *Machine) finishClaim(f *wire.FinishClaim) *wire.CommandResult {
	if f.Attempt == 0 {
		return m.releaseClaim(f)
	}
	c := m.claims[f.Key]
	if c == nil || c.Attempt != f.Attempt {
		return rejected("no claim has this key and attempt")
	}
	if !outcomeOpen(c) {
		return &wire.CommandResult{Applied: c.State == f.State, Claim: clone(c)}
	}
	c.State = f.State
	if f.State == wire.ClaimState_CLAIM_STATE_DONE {
		// The holder and the tokens are needed only until the outcome is known.
		c.Answer, c.HolderEntry, c.HolderIncarnation, c.Token, c.SpentTokens = f.Answer, "", "", "", nil
	}
	if bytes := uint64(len(f.Answer.GetBody())); c.Answer != nil && f.MaxAnswerBytes > 0 && m.claimResponseBytes+bytes > f.MaxAnswerBytes {
		c.Answer = &wire.RecordedAnswer{Status: f.Answer.GetStatus(), ContentType: f.Answer.GetContentType(), Dropped: true}
	}
	m.claimResponseBytes += responseBytes(c)
	if c.State == wire.ClaimState_CLAIM_STATE_NOT_RUN {
		markTokenSpent(c, c.Token)
	}
	return &wire.CommandResult{Applied: true, Claim: clone(c)}
}

// releaseClaim ends a token whose holder did not receive a grant and so never
// ran the request. A BeginClaim with the token may still be in flight: the
// token is recorded as spent, so that it is not granted later.
func (m *Machine) releaseClaim(f *wire.FinishClaim) *wire.CommandResult {
	c := m.claims[f.Key]
	if c == nil {
		if f.KeyUnixMs < m.claimsExpiredBefore {
			return applied()
		}
		c = &wire.Claim{Key: f.Key, Digest: f.Digest, State: wire.ClaimState_CLAIM_STATE_NOT_RUN, KeyUnixMs: f.KeyUnixMs}
		m.claims[f.Key] = c
	}
	if outcomeOpen(c) && c.Token == f.Token {
		c.State = wire.ClaimState_CLAIM_STATE_NOT_RUN
	}
	markTokenSpent(c, f.Token)
	return applied()
}

// outcomeOpen reports whether the outcome of the claim is pending or unknown, so
// that finishClaim may still set it.
func outcomeOpen(c *wire.Claim) bool {
	return c.State == wire.ClaimState_CLAIM_STATE_PENDING || c.State == wire.ClaimState_CLAIM_STATE_UNKNOWN
}

func markTokenSpent(c *wire.Claim, token string) {
	digest := xxhash.Sum64String(token)
	if slices.Contains(c.SpentTokens, digest) {
		return
	}
	c.SpentTokens = append(slices.Clone(c.SpentTokens), digest)
	if extra := len(c.SpentTokens) - maxSpentTokens; extra > 0 {
		c.SpentTokens = c.SpentTokens[extra:]
	}
}

func responseBytes(c *wire.Claim) uint64 { return uint64(len(c.Answer.GetBody())) }

// releaseWork marks the pending claims of a dead incarnation of an entry as
// unknown, and queues its running deferred requests again.
func (m *Machine) releaseWork(entry, incarnation string) {
	for _, c := range m.claims {
		if c.State == wire.ClaimState_CLAIM_STATE_PENDING && c.HolderEntry == entry && c.HolderIncarnation == incarnation {
			c.State = wire.ClaimState_CLAIM_STATE_UNKNOWN
		}
	}
	for _, d := range m.deferred {
		if d.State == wire.DeferredState_DEFERRED_STATE_RUNNING && d.RunnerEntry == entry && d.RunnerIncarnation == incarnation {
			d.State = wire.DeferredState_DEFERRED_STATE_QUEUED
		}
	}
}

// expireRecords drops records past their retention. Pending claims expire too:
// their keys are rejected from then on, so that their requests cannot run twice.
func (m *Machine) expireRecords(x *wire.ExpireRecords) *wire.CommandResult {
	m.claimsExpiredBefore = max(m.claimsExpiredBefore, x.ClaimsBeforeUnixMs)
	for k, c := range m.claims {
		if c.KeyUnixMs < m.claimsExpiredBefore {
			m.claimResponseBytes -= responseBytes(c)
			delete(m.claims, k)
		}
	}
	m.expireDeferred(x.DeferredBeforeUnixMs, x.NowUnixMs)
	for k, a := range m.applyRecords {
		if a.AnsweredUnixMs < x.AppliesBeforeUnixMs {
			delete(m.applyRecords, k)
		}
	}
	for k, s := range m.suspects {
		if s.SeenUnixMs < x.SuspectsBeforeUnixMs {
			delete(m.suspects, k)
			m.markViewChanged()
		}
	}
	return applied()
}
