package state

import "parsleyramp/internal/wire"

// crashesToQuarantine is the number of engine crashes after which a request that
// was in flight during each of them is quarantined.
const crashesToQuarantine = 2

// reportCrash marks every request that was in flight during the crash as a
// suspect, and quarantines those that reach crashesToQuarantine.
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
		if s.Crashes >= crashesToQuarantine {
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
