package state

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/wire"
)

func (m *Machine) sortedDeferred() []*wire.DeferredRequest {
	return sorted(m.deferred, func(a, b *wire.DeferredRequest) int {
		return cmp.Or(cmp.Compare(a.FinishByUnixMs, b.FinishByUnixMs), cmp.Compare(a.Id, b.Id))
	})
}

// Deferred returns a deferred request, or nil.
func (m *Machine) Deferred(id string) *wire.DeferredRequest {
	d, ok := m.deferred[id]
	if !ok {
		return nil
	}
	return clone(d)
}

func unfinished(d *wire.DeferredRequest) bool {
	return d.State == wire.DeferredState_DEFERRED_STATE_QUEUED || d.State == wire.DeferredState_DEFERRED_STATE_RUNNING
}

// UnfinishedDeferred returns the unfinished deferred requests, earliest deadline first.
func (m *Machine) UnfinishedDeferred() []*wire.DeferredRequest {
	var out []*wire.DeferredRequest
	for _, d := range m.sortedDeferred() {
		if unfinished(d) {
			out = append(out, d)
		}
	}
	return out
}

// DeferredBytes returns the bodies and answers held, with the reserve for the
// answer of each unfinished request.
func (m *Machine) DeferredBytes(reserve uint64) uint64 {
	var sum uint64
	for _, d := range m.deferred {
		sum += uint64(len(d.Body) + len(d.Answer.GetBody()))
		if unfinished(d) {
			sum += reserve
		}
	}
	return sum
}

// EarliestFinishBy returns the deadline of the deferred request that is
// dropped first, or zero where there is none.
func (m *Machine) EarliestFinishBy() int64 {
	var earliest int64
	for _, d := range m.deferred {
		if earliest == 0 || d.FinishByUnixMs < earliest {
			earliest = d.FinishByUnixMs
		}
	}
	return earliest
}

// submitDeferred accepts a request once. A resent one with the same id and
// body gets what is known of the first.
func (m *Machine) submitDeferred(s *wire.SubmitDeferred, now int64) *wire.CommandResult {
	d := s.GetRequest()
	digest := xxhash.Sum64(d.GetBody())
	if old := m.deferred[d.GetId()]; old != nil {
		if old.BodyDigest != digest || old.Path != d.Path {
			return rejected("the id was used with another request")
		}
		return &wire.CommandResult{Applied: true, Deferred: clone(old)}
	}
	if s.LimitBytes > 0 && m.DeferredBytes(s.ReserveBytes)+uint64(len(d.GetBody()))+s.ReserveBytes > s.LimitBytes {
		return &wire.CommandResult{Reason: "the store of overnight work is full", Full: true}
	}
	added := clone(d)
	added.State, added.AcceptedUnixMs, added.BodyDigest = wire.DeferredState_DEFERRED_STATE_QUEUED, now, digest
	m.deferred[d.Id] = added
	return &wire.CommandResult{Applied: true, Deferred: clone(added)}
}

func (m *Machine) startDeferred(s *wire.StartDeferred) *wire.CommandResult {
	d := m.deferred[s.Id]
	if d == nil || d.State != wire.DeferredState_DEFERRED_STATE_QUEUED || d.Attempt != s.ExpectedAttempt {
		return rejected("not queued")
	}
	runner := m.entries[s.RunnerEntry]
	if !runner.GetLive() || runner.Incarnation != s.RunnerIncarnation {
		return rejected("the runner is not live")
	}
	d.State = wire.DeferredState_DEFERRED_STATE_RUNNING
	d.RunnerEntry, d.RunnerIncarnation = s.RunnerEntry, s.RunnerIncarnation
	d.Attempt++
	return &wire.CommandResult{Applied: true, Deferred: clone(d)}
}

// finishDeferred takes the answer of the current attempt; those of earlier
// attempts come too late. The final answer never changes.
func (m *Machine) finishDeferred(f *wire.FinishDeferred) *wire.CommandResult {
	d := m.deferred[f.Id]
	if d == nil || d.Attempt != f.Attempt || d.State == wire.DeferredState_DEFERRED_STATE_QUEUED {
		return rejected("not the current attempt")
	}
	if d.State != wire.DeferredState_DEFERRED_STATE_RUNNING {
		return &wire.CommandResult{Applied: d.State == f.State, Deferred: clone(d)}
	}
	d.State, d.Answer, d.Body, d.Failure = f.State, f.Answer, nil, f.Failure
	if f.LimitBytes > 0 && m.DeferredBytes(f.ReserveBytes) > f.LimitBytes {
		d.State, d.Answer = wire.DeferredState_DEFERRED_STATE_FAILED, nil
		d.Failure = "the answer is larger than the store has room for"
	}
	return &wire.CommandResult{Applied: true, Deferred: clone(d)}
}

// expireDeferred drops requests whose deadline is before a time, and fails
// unfinished ones whose deadline has passed.
func (m *Machine) expireDeferred(before, now int64) {
	for k, d := range m.deferred {
		switch {
		case d.FinishByUnixMs < before:
			delete(m.deferred, k)
		case d.FinishByUnixMs < now && unfinished(d):
			d.State, d.Body = wire.DeferredState_DEFERRED_STATE_FAILED, nil
			d.Failure = "its time passed before it was finished"
		}
	}
}
