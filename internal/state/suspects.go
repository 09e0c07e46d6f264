package state

import (
	"cmp"
	"slices"

	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/wire"
)

// maxRecordedSuspects bounds the suspects that recordSuspects stores.
const maxRecordedSuspects = 4096

// reportCrash marks every request that was in flight during the crash as a
// suspect, and quarantines those that reach quarantine.MaxCrashes.
func (m *Machine) reportCrash(r *wire.ReportCrash, now int64) *wire.CommandResult {
	crash := r.Endpoint + "/" + r.Incarnation
	for _, f := range r.Fingerprints {
		s := m.suspects[f]
		if s == nil {
			s = &wire.Suspect{Fingerprint: f, State: wire.SuspectState_SUSPECT_STATE_SUSPECT, LogIndex: m.applied}
			m.suspects[f] = s
		}
		if s.LastCrash == crash {
			continue
		}
		s.LastCrash, s.SeenUnixMs = crash, now
		s.Crashes++
		if s.Crashes >= quarantine.MaxCrashes {
			s.State = wire.SuspectState_SUSPECT_STATE_CONVICTED
		}
		m.markViewChanged()
	}
	return applied()
}

// Suspect returns the record of a suspected poison request, or nil.
func (m *Machine) Suspect(fingerprint uint64) *wire.Suspect {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return nil
	}
	return clone(s)
}

// clearSuspect drops the suspect record of a request that has completed.
func (m *Machine) clearSuspect(fingerprint uint64) *wire.CommandResult {
	s := m.suspects[fingerprint]
	if s == nil || s.State == wire.SuspectState_SUSPECT_STATE_CONVICTED {
		return rejected("the request is no suspect or is already quarantined")
	}
	delete(m.suspects, fingerprint)
	m.markViewChanged()
	return applied()
}

// recordSuspects stores what a leader has decided about suspects. The oldest are
// dropped beyond maxRecordedSuspects.
func (m *Machine) recordSuspects(r *wire.RecordSuspects, now int64) *wire.CommandResult {
	for _, f := range r.Cleared {
		delete(m.suspects, f)
	}
	for _, s := range r.Suspects {
		recorded := clone(s)
		recorded.SeenUnixMs, recorded.LogIndex = now, m.applied
		m.suspects[s.Fingerprint] = recorded
	}
	if excess := len(m.suspects) - maxRecordedSuspects; excess > 0 {
		oldestFirst := m.sortedSuspects()
		slices.SortStableFunc(oldestFirst, func(a, b *wire.Suspect) int { return cmp.Compare(a.SeenUnixMs, b.SeenUnixMs) })
		for _, s := range oldestFirst[:excess] {
			delete(m.suspects, s.Fingerprint)
		}
	}
	m.markViewChanged()
	return applied()
}

// Suspects returns the recorded suspects, by fingerprint.
func (m *Machine) Suspects() []*wire.Suspect { return cloneAll(m.sortedSuspects()) }
