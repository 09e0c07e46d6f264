package consensus

import (
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// membershipAt is the membership that takes effect at index.
type membershipAt struct {
	index uint64
	value *wire.Membership
}

// membershipLog holds the memberships in the log, by index. A replica uses the
// latest one as soon as it is appended, committed or not (Ongaro 2014, 4.1).
type membershipLog []membershipAt

func (m membershipLog) current() *wire.Membership {
	if len(m) == 0 {
		return &wire.Membership{}
	}
	return m[len(m)-1].value
}

func (m membershipLog) currentIndex() uint64 {
	if len(m) == 0 {
		return 0
	}
	return m[len(m)-1].index
}

// at returns the latest membership at or before the index.
func (m membershipLog) at(index uint64) *wire.Membership {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].index <= index {
			return m[i].value
		}
	}
	return &wire.Membership{}
}

// truncate removes the memberships at index and after it.
func (m membershipLog) truncate(index uint64) membershipLog {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact removes the memberships that a later one at or before the index
// replaces.
func (m membershipLog) compact(index uint64) membershipLog {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}
	return m
}

func decodeMembership(e *wire.LogEntry) *wire.Membership {
	var m wire.Membership
	if err := proto.Unmarshal(e.Data, &m); err != nil {
		return &wire.Membership{}
	}
	return &m
}

func findReplica(m *wire.Membership, id uint64) *wire.Replica {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}

func isVoter(m *wire.Membership, id uint64) bool {
	r := findReplica(m, id)
	return r != nil && !r.Learner
}

func voters(m *wire.Membership) []uint64 {
	var ids []uint64
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

// checkChange rejects a membership without voters, and a change that adds or removes more
// than one voter. It may do both: one voter takes the place of another.
func checkChange(from, to *wire.Membership) error {
	seen := map[uint64]bool{}
	for _, r := range to.GetReplicas() {
		if r.Id == 0 || seen[r.Id] {
			return fail.New(fail.MembershipChange, "the replica ids of a membership must be unique and not zero")
		}
		seen[r.Id] = true
	}
	if votersMissingIn(to, from) > 1 || votersMissingIn(from, to) > 1 {
		return fail.New(fail.MembershipChange, "a membership change may add at most one voter and remove at most one")
	}
	if len(voters(to)) == 0 {
		return fail.New(fail.MembershipChange, "a membership must have at least one voter")
	}
	return nil
}

// votersMissingIn returns how many voters of the membership other are no voters of m.
func votersMissingIn(m, other *wire.Membership) int {
	n := 0
	for _, id := range voters(other) {
		if !isVoter(m, id) {
			n++
		}
	}
	return n
}
