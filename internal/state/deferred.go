package state

import (
	"cmp"

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

// DeferredWork returns the unfinished deferred requests, earliest deadline first.
func (m *Machine) DeferredWork() []*wire.DeferredRequest {
	var out []*wire.DeferredRequest
	for _, d := range m.sortedDeferred() {
		if d.State == wire.DeferredState_DEFERRED_STATE_QUEUED || d.State == wire.DeferredState_DEFERRED_STATE_RUNNING {
			out = append(out, d)
		}
	}
	return out
}

func (m *Machine) submitDeferred(d *wire.DeferredRequest, now int64) *wire.CommandResult {
	if old := m.deferred[d.GetId()]; old != nil {
		return &wire.CommandResult{Applied: true, Deferred: clone(old)}
	}
	added := clone(d)
	added.State, added.AcceptedUnixMs = wire.DeferredState_DEFERRED_STATE_QUEUED, now
	m.deferred[d.Id] = added
	return &wire.CommandResult{Applied: true, Deferred: clone(added)}
}

func (m *Machine) startDeferred(s *wire.StartDeferred) *wire.CommandResult {
	d := m.deferred[s.Id]
	if d == nil || d.State != wire.DeferredState_DEFERRED_STATE_QUEUED || d.Attempt != s.ExpectedAttempt {
		return refused("not queued")
	}
	d.State = wire.DeferredState_DEFERRED_STATE_RUNNING
	d.RunnerEntry, d.RunnerIncarnation = s.RunnerEntry, s.RunnerIncarnation
	d.Attempt++
	return &wire.CommandResult{Applied: true, Deferred: clone(d)}
}

// finishDeferred takes the answer of the current attempt; those of earlier
// attempts come too late.
func (m *Machine) finishDeferred(f *wire.FinishDeferred) *wire.CommandResult {
	d := m.deferred[f.Id]
	if d == nil || d.State != wire.DeferredState_DEFERRED_STATE_RUNNING || d.Attempt != f.Attempt {
		return refused("not the current attempt")
	}
	d.State, d.Answer = f.State, f.Answer
	return &wire.CommandResult{Applied: true, Deferred: clone(d)}
}
