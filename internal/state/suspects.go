package state

import "parsleyramp/internal/wire"

// crashesToConvict is how many endpoints a request may cost.
const crashesToQuarantine = 2

// reportCrash makes every request that was in flight a suspect. The second
// crash convicts.
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

// Suspect returns the record of a suspect, or nil.
func (m *Machine) Suspect(fingerprint uint64) *wire.Suspect {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return nil
	}
	return clone(s)
}

// clearSuspect drops the suspicion of a request that has completed.
func (m *Machine) clearSuspect(fingerprint uint64) *wire.CommandResult {
	s := m.suspects[fingerprint]
	if s == nil || s.State == wire.SuspectState_SUSPECT_STATE_CONVICTED {
		return rejected("not a suspect")
	}
	delete(m.suspects, fingerprint)
	m.markViewChanged()
	return applied()
}
