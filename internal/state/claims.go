package state

import "parsleyramp/internal/wire"

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
	if old == nil && b.KeyUnixMs < m.claimsExpiredBefore {
		return refused("the key is older than the retention of records")
	}
	if old.GetState() == wire.ClaimState_CLAIM_STATE_PENDING && old.Token == b.Token && old.Digest == b.Digest {
		return &wire.CommandResult{Applied: true, Claim: clone(old)}
	}
	if old != nil && (old.Digest != b.Digest || old.State != wire.ClaimState_CLAIM_STATE_NOT_RUN) {
		return &wire.CommandResult{Claim: clone(old)}
	}
	c := &wire.Claim{
		Key: b.Key, Digest: b.Digest, State: wire.ClaimState_CLAIM_STATE_PENDING,
		HolderEntry: b.HolderEntry, HolderIncarnation: b.HolderIncarnation,
		Attempt: old.GetAttempt() + 1, ClaimedUnixMs: now, KeyUnixMs: b.KeyUnixMs, Token: b.Token,
	}
	m.claims[b.Key] = c
	return &wire.CommandResult{Applied: true, Claim: clone(c)}
}

// finishClaim records the outcome that the holder of the attempt has learned.
// An unknown outcome may still become known; a known one never changes.
func (m *Machine) finishClaim(f *wire.FinishClaim) *wire.CommandResult {
	c := m.claims[f.Key]
	if c == nil || c.Attempt != f.Attempt {
		return refused("no such attempt")
	}
	if c.State != wire.ClaimState_CLAIM_STATE_PENDING && c.State != wire.ClaimState_CLAIM_STATE_UNKNOWN {
		return &wire.CommandResult{Applied: c.State == f.State, Claim: clone(c)}
	}
	c.State, c.Answer = f.State, f.Answer
	return &wire.CommandResult{Applied: true, Claim: clone(c)}
}

// abandonWork ends what a dead incarnation of an entry held.
func (m *Machine) abandonWork(entry, incarnation string) {
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
			delete(m.claims, k)
		}
	}
	for k, d := range m.deferred {
		if d.FinishByUnixMs < x.DeferredBeforeUnixMs {
			delete(m.deferred, k)
		}
	}
	for k, s := range m.suspects {
		if s.SeenUnixMs < x.SuspectsBeforeUnixMs {
			delete(m.suspects, k)
			m.changeView()
		}
	}
	return applied()
}
