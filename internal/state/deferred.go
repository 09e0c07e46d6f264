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

// DeferredBytes returns the size of all stored bodies and responses, plus the
// reserve for the response of each unfinished request.
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

// EarliestFinishBy returns the earliest deadline of all deferred requests, or
// zero if there are none. That request is the first to be dropped.
func (m *Machine) EarliestFinishBy() int64 {
	var earliest int64
	for _, d := range m.deferred {
		if earliest == 0 || d.FinishByUnixMs < earliest {
			earliest = d.FinishByUnixMs
		}
	}
	return earliest
}

// submitDeferred queues a request. A resent request with the same id, path and
// body returns the stored record.
func (m *Machine) submitDeferred(s *wire.SubmitDeferred, now int64) *wire.CommandResult {
	d := s.GetRequest()
	digest := xxhash.Sum64(d.GetBody())
	if old := m.deferred[d.GetId()]; old != nil {
		if old.BodyDigest != digest || old.Path != d.Path {
			return rejected("the id of the deferred request was used with another path or body")
		}
		return &wire.CommandResult{Applied: true, Deferred: clone(old)}
	}
	if s.LimitBytes > 0 && m.DeferredBytes(s.ReserveBytes)+uint64(len(d.GetBody()))+s.ReserveBytes > s.LimitBytes {
		return &wire.CommandResult{Reason: "the store of deferred requests is full", Full: true}
	}
	added := clone(d)
	added.State, added.AcceptedUnixMs, added.BodyDigest = wire.DeferredState_DEFERRED_STATE_QUEUED, now, digest
	m.deferred[d.Id] = added
	return &wire.CommandResult{Applied: true, Deferred: clone(added)}
}

func (m *Machine) startDeferred(s *wire.StartDeferred) *wire.CommandResult {
	d := m.deferred[s.Id]
	if d == nil || d.State != wire.DeferredState_DEFERRED_STATE_QUEUED || d.Attempt != s.ExpectedAttempt {
		return rejected("the deferred request is not queued under the expected attempt")
	}
	runner := m.entries[s.RunnerEntry]
	if !runner.GetLive() || runner.Incarnation != s.RunnerIncarnation {
		return rejected("the incarnation of the runner is not live")
	}
	d.State = wire.DeferredState_DEFERRED_STATE_RUNNING
	d.RunnerEntry, d.RunnerIncarnation = s.RunnerEntry, s.RunnerIncarnation
	d.Attempt++
	return &wire.CommandResult{Applied: true, Deferred: clone(d)}
}

// finishDeferred records the response of the current attempt and rejects those
// of earlier attempts. A final state never changes.
func (m *Machine) finishDeferred(f *wire.FinishDeferred) *wire.CommandResult {
	d := m.deferred[f.Id]
	if d == nil || d.Attempt != f.Attempt || d.State == wire.DeferredState_DEFERRED_STATE_QUEUED {
		return rejected("the attempt is not the current one of the deferred request")
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

// expireDeferred drops the requests whose deadline is before the given time,
// and fails the unfinished ones whose deadline has passed.
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
