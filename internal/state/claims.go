package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/wire"
)

// maxSpentTokens bounds the tokens that a claim remembers as over.
const maxSpentTokens = 32

// Claim returns the record of an idempotency key, or nil.
func (m *Machine) Claim(key string) *wire.Claim {
	c, ok := m.claims[key]
	if !ok {
		return nil
	}
	return clone(c)
}

// beginClaim grants a key once. Applied is true where the holder may run the
// request; otherwise Claim says what is known of the earlier run.
func (m *Machine) beginClaim(b *wire.BeginClaim, now int64) *wire.CommandResult {
	old := m.claims[b.Key]
	holder := m.entries[b.HolderEntry]
	switch {
	case !holder.GetLive() || holder.Incarnation != b.HolderIncarnation:
		// Nobody would end a claim that is granted after its holder's death.
		return &wire.CommandResult{Reason: "the holder is not live", HolderNotLive: true}
	case old == nil && b.KeyUnixMs < m.claimsExpiredBefore:
		return rejected("the key is older than the retention of records")
	case old == nil && b.MaxClaims > 0 && uint64(len(m.claims)) >= b.MaxClaims:
		return &wire.CommandResult{Reason: "the records of claims are full", Full: true}
	case old.GetState() == wire.ClaimState_CLAIM_STATE_PENDING && old.Token == b.Token && old.Digest == b.Digest:
		return &wire.CommandResult{Applied: true, Claim: clone(old)}
	case old != nil && (old.Digest != b.Digest || old.State != wire.ClaimState_CLAIM_STATE_NOT_RUN):
		return &wire.CommandResult{Claim: clone(old)}
	case slices.Contains(old.GetSpentTokens(), xxhash.Sum64String(b.Token)):
		return &wire.CommandResult{Claim: clone(old), Reason: "the token is over"}
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

// finishClaim records the outcome that the holder of the attempt has learned.
// An unknown outcome may still become known; a known one never changes.
func (m *Machine) finishClaim(f *wire.FinishClaim) *wire.CommandResult {
	if f.Attempt == 0 {
		return m.releaseClaim(f)
	}
	c := m.claims[f.Key]
	if c == nil || c.Attempt != f.Attempt {
		return rejected("no such attempt")
	}
	if !outcomeOpen(c) {
		return &wire.CommandResult{Applied: c.State == f.State, Claim: clone(c)}
	}
	c.State = f.State
	if f.State == wire.ClaimState_CLAIM_STATE_DONE {
		// Only a claim whose outcome is open needs its holder.
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

// releaseClaim ends a token whose holder never learned of a grant, and so
// never ran the request. A BeginClaim with the token may still be on its way.
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

// open reports whether the outcome of a claim may still become known.
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

// abandonWork ends what a dead incarnation of an entry held.
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

// expireRecords drops records past their retention. A pending claim expires
// too: its key is refused from then on, so it cannot run twice.
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
