package consensus

import (
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// membershipAt is the membership in force from index on.
type membershipAt struct {
	index uint64
	value *wire.Membership
}

// membershipLog tracks the memberships found in the log. A replica uses the
// newest one as soon as it is appended, committed or not (Ongaro 2014, 4.1).
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

// at returns the membership in force at the index.
func (m membershipLog) at(index uint64) *wire.Membership {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].index <= index {
			return m[i].value
		}
	}
	return &wire.Membership{}
}

// truncate forgets memberships from index on.
func (m membershipLog) truncate(index uint64) membershipLog {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact keeps the one in force at the index and those after it.
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

// quorum returns how many voters a decision needs.
func quorum(m *wire.Membership) int { return len(voters(m))/2 + 1 }

// checkChange allows a change of at most one voter: two memberships that
// differ by one voter always share a member in any two of their quorums.
func checkChange(from, to *wire.Membership) error {
	seen := map[uint64]bool{}
	for _, r := range to.GetReplicas() {
		if r.Id == 0 || seen[r.Id] {
			return fail.New(fail.MembershipChange, "every replica of a membership needs an id of its own")
		}
		seen[r.Id] = true
	}
	changed := 0
	for _, id := range voters(from) {
		if !isVoter(to, id) {
			changed++
		}
	}
	for _, id := range voters(to) {
		if !isVoter(from, id) {
			changed++
		}
	}
	if changed > 1 {
		return fail.New(fail.MembershipChange, "a change may add or remove one voter only")
	}
	if len(voters(to)) == 0 {
		return fail.New(fail.MembershipChange, "a membership needs a voter")
	}
	return nil
}
