package state

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

// Section returns a team's section, or nil.
func (m *Machine) Section(team string) *wire.Section {
	s, ok := m.sections[team]
	if !ok {
		return nil
	}
	return clone(s)
}

// applySection sets a team's section by compare-and-set on the base revision. An
// order id that was applied before returns its first recorded result.
func (m *Machine) applySection(a *wire.ApplySection, now int64) *wire.CommandResult {
	digest := xxhash.Sum64(a.Text)
	key := applyKey{a.Team, a.OrderId}
	if first, ok := m.applyRecords[key]; ok {
		if first.Digest == digest {
			return &wire.CommandResult{Applied: first.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, Apply: clone(first)}
		}
		return applyResult(&wire.ApplyRecord{Team: a.Team, OrderId: a.OrderId, Digest: digest, Outcome: wire.ApplyOutcome_APPLY_OUTCOME_ORDER_ID_REUSED, Detail: "this order id was used with another text"})
	}
	if m.countApplyRecords(a.Team) >= MaxApplyRecords {
		return &wire.CommandResult{Reason: "the maximum number of recorded changes of the team is reached", Full: true}
	}
	record := &wire.ApplyRecord{Team: a.Team, OrderId: a.OrderId, Digest: digest, AnsweredIndex: m.applied, AnsweredUnixMs: now}
	current := m.sections[a.Team].GetRevision()
	section, err := desired.ParseSection(a.Text)
	switch {
	case err != nil:
		record.Outcome, record.Detail = wire.ApplyOutcome_APPLY_OUTCOME_INVALID, err.Error()
	case section.Team != a.Team:
		record.Outcome = wire.ApplyOutcome_APPLY_OUTCOME_INVALID
		record.Detail = fmt.Sprintf("the section says team %q", section.Team)
	case a.BaseRevision != current:
		record.Outcome, record.Revision = wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT, current
		record.Detail = fmt.Sprintf("the section is at revision %d, the change was made on %d", current, a.BaseRevision)
	default:
		if conflict := m.pathConflict(section); conflict != "" {
			record.Outcome, record.Detail = wire.ApplyOutcome_APPLY_OUTCOME_INVALID, conflict
			break
		}
		m.markViewChanged()
		record.Outcome = wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
		record.Revision, record.LogIndex = current+1, m.applied
		m.sections[a.Team] = &wire.Section{Team: a.Team, Revision: current + 1, Text: a.Text, AcceptedUnixMs: now, LogIndex: m.applied}
	}
	m.applyRecords[key] = record
	return applyResult(clone(record))
}

func applyResult(r *wire.ApplyRecord) *wire.CommandResult {
	return &wire.CommandResult{Applied: r.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, Apply: r, Reason: r.Detail}
}

// MaxApplyRecords bounds the results recorded for one team. Further changes are
// rejected until the oldest results are past their retention, so that a resent
// change always gets its first result within that time.
const MaxApplyRecords = 2048

func (m *Machine) countApplyRecords(team string) int {
	n := 0
	for k := range m.applyRecords {
		if k.team == team {
			n++
		}
	}
	return n
}

// pathConflict describes a service of the section whose name another team
// declares, or whose path equals, contains or lies within a path of another team.
// It returns "" if there is none.
func (m *Machine) pathConflict(section *desired.Section) string {
	for _, other := range m.sortedSections() {
		if other.Team == section.Team {
			continue
		}
		parsed, err := desired.ParseSection(other.Text)
		if err != nil {
			continue
		}
		for _, mine := range section.Services {
			for _, theirs := range parsed.Services {
				if mine.Name == theirs.Name || strings.HasPrefix(mine.Path, theirs.Path) || strings.HasPrefix(theirs.Path, mine.Path) {
					return fmt.Sprintf("service %s at %s clashes with service %s at %s of team %s", mine.Name, mine.Path, theirs.Name, theirs.Path, other.Team)
				}
			}
		}
	}
	return ""
}
