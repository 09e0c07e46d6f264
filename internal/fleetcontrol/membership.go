package fleetcontrol

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

const (
	// silentTimeout is the time without a response after which a voter loses its vote. It
	// may be short, because a learner that has lost its vote gets it back.
	silentTimeout = 300 * time.Millisecond
	// settleTime is the time since a learner was last silent after which it may take the vote of
	// a voter that responds. One that this leader has not known as silent need not wait: leaders
	// may last for less.
	settleTime = time.Second
)

// nextMembership returns the next membership and the reason for the change, or nil if there
// is nothing to change.
//
// A voter that is gone counts against the next loss, and nothing tells it from one that is cut
// off. So a vote moves while all voters respond: the newest replica of a failure domain takes the
// vote of its domain, and the older one becomes a learner with the whole log, which may take the
// place of a voter at any time. A group has minVoters voters then, as many as the losses that it
// tolerates need. Only a replica of which nobody knows whose place it takes votes beside the others,
// until one of them is silent.
//
//   - A voter whose disk is lost, or that is silent, changes places with a learner.
//   - A learner becomes a voter if there are fewer than minVoters. A silent voter becomes a
//     learner if there are more.
//   - A learner takes the place of a substitute, which has the vote of its domain, or of the only
//     voter of its domain if that is older. It votes beside the others if its domain is not known,
//     or has no voter or several, or if it did before and was silent.
//   - A learner that is silent for learnerTimeout is removed.
func nextMembership(s replica.Status, contacts map[uint64]contact, minVoters int) (*wire.Membership, string) {
	g := newMembers(s, contacts, minVoters)
	for _, rule := range []func() (*wire.Membership, string){g.replaceLostDisk, g.addVoter, g.replaceSilentVoter, g.moveVote, g.removeSilentLearner} {
		if next, reason := rule(); next != nil {
			return next, reason
		}
	}
	return nil, ""
}

// membershipWithoutLeaving returns the membership in which a voter that is about to stop is a
// learner. It returns errTooFewVoters if fewer than minVoters would be left, and errTooFewReachable
// if that, or no quorum of those that remain, is so only as long as no more replicas respond.
func membershipWithoutLeaving(s replica.Status, leaving uint64, minVoters int) (*wire.Membership, error) {
	g := newMembers(s, nil, minVoters)
	i := slices.IndexFunc(g.voters, func(v *wire.Replica) bool { return v.Id == leaving })
	if i < 0 {
		return nil, errTooFewVoters
	}
	v := g.voters[i]
	if g.tooManyVoters() && g.keepsQuorum(leaving) {
		return exchanged(s.Membership, v, nil), nil
	}
	if l := g.successorOf(v); l != nil && !g.tooManyVoters() {
		return exchanged(s.Membership, v, l), nil
	}
	if len(s.Membership.GetReplicas()) > minVoters {
		return nil, errTooFewReachable
	}
	return nil, errTooFewVoters
}

// members is what a leader knows of the replicas of its group, each in the order of admission.
type members struct {
	status    replica.Status
	contacts  map[uint64]contact
	minVoters int
	voters    []*wire.Replica
	learners  []*wire.Replica
	// ready are the learners that may become voters.
	ready []*wire.Replica
	// age is the position of each replica; that of the oldest one is zero.
	age map[uint64]int
}

func newMembers(s replica.Status, contacts map[uint64]contact, minVoters int) *members {
	g := &members{status: s, contacts: contacts, minVoters: minVoters, age: map[uint64]int{}}
	for i, r := range s.Membership.GetReplicas() {
		g.age[r.Id] = i
		if !r.Learner {
			g.voters = append(g.voters, r)
			continue
		}
		g.learners = append(g.learners, r)
		if s.Reachable[r.Id] && s.CaughtUp[r.Id] && !s.Stopping[r.Id] {
			g.ready = append(g.ready, r)
		}
	}
	return g
}

// replaceLostDisk removes a voter whose disk is lost, for a learner.
func (g *members) replaceLostDisk() (*wire.Membership, string) {
	v := g.voterWithLostDisk()
	if v == nil {
		return nil, ""
	}
	l := g.successorOf(v)
	if l == nil {
		return nil, ""
	}
	return withoutReplica(exchanged(g.status.Membership, v, l), v.Id), "disk of a voter lost"
}

// addVoter makes a learner a voter if there are too few.
func (g *members) addVoter() (*wire.Membership, string) {
	l := g.bestVoter()
	if l == nil || len(g.voters) >= g.minVoters {
		return nil, ""
	}
	return exchanged(g.status.Membership, nil, l), "too few voters"
}

// replaceSilentVoter takes the vote from the voter that has been silent for longest, for a
// learner unless there are too many voters.
func (g *members) replaceSilentVoter() (*wire.Membership, string) {
	v := g.longestSilent()
	if v == nil || g.contacts[v.Id].silent < silentTimeout {
		return nil, ""
	}
	if g.tooManyVoters() {
		if !g.keepsQuorum(v.Id) {
			return nil, ""
		}
		return exchanged(g.status.Membership, v, nil), "one of too many voters silent"
	}
	l := g.successorOf(v)
	if l == nil {
		return nil, ""
	}
	return exchanged(g.status.Membership, v, l), "voter silent"
}

// moveVote moves a vote between replicas that respond, while all voters do.
func (g *members) moveVote() (*wire.Membership, string) {
	if !g.allVotersRespond() {
		return nil, ""
	}
	if v, l := g.returning(); l != nil {
		return exchanged(g.status.Membership, v, l), "domain has a replica again"
	}
	if v, l := g.replacement(); l != nil {
		return exchanged(g.status.Membership, v, l), "newer replica of the domain"
	}
	if l := g.withoutPredecessor(); l != nil {
		return exchanged(g.status.Membership, nil, l), "replaces no known voter"
	}
	return nil, ""
}

// removeSilentLearner removes a learner that is likely to be gone for good.
func (g *members) removeSilentLearner() (*wire.Membership, string) {
	for _, l := range g.learners {
		if g.contacts[l.Id].silent >= learnerTimeout {
			return withoutReplica(g.status.Membership, l.Id), "learner silent"
		}
	}
	return nil, ""
}

func (g *members) tooManyVoters() bool { return len(g.voters) > g.minVoters }

// voterWithLostDisk returns a voter at whose address there is a learner now, or nil.
func (g *members) voterWithLostDisk() *wire.Replica {
	for _, v := range g.voters {
		if slices.ContainsFunc(g.learners, func(l *wire.Replica) bool { return l.Address == v.Address }) {
			return v
		}
	}
	return nil
}

// successorOf returns the learner that takes the place of the voter best, or nil: one at its
// address, else one of its domain, else one of the domain with the fewest voters.
func (g *members) successorOf(v *wire.Replica) *wire.Replica {
	for _, same := range []func(l *wire.Replica) bool{
		func(l *wire.Replica) bool { return l.Address == v.Address },
		func(l *wire.Replica) bool { return sameDomain(l, v) },
	} {
		if i := slices.IndexFunc(g.ready, same); i >= 0 {
			return g.ready[i]
		}
	}
	return g.bestVoter()
}

// bestVoter returns the learner of the domain with the fewest voters, or nil.
func (g *members) bestVoter() *wire.Replica {
	if len(g.ready) == 0 {
		return nil
	}
	return slices.MinFunc(g.ready, func(a, b *wire.Replica) int { return cmp.Compare(g.votersNear(a), g.votersNear(b)) })
}

// votersNear returns how many voters are in the domain of the replica.
func (g *members) votersNear(r *wire.Replica) int {
	n := 0
	for _, v := range g.voters {
		if sameDomain(v, r) {
			n++
		}
	}
	return n
}

// settled returns the learners that may take the vote of a voter that responds.
func (g *members) settled() []*wire.Replica {
	return slices.DeleteFunc(slices.Clone(g.ready), func(l *wire.Replica) bool { return g.contacts[l.Id].steady < settleTime })
}

// replacement returns the only voter of a domain and a newer learner of it, or nil. The leader
// is replaced last, since that makes another replica the leader.
func (g *members) replacement() (*wire.Replica, *wire.Replica) {
	var leader, forLeader *wire.Replica
	for _, l := range g.settled() {
		i := slices.IndexFunc(g.voters, func(v *wire.Replica) bool { return sameDomain(v, l) && v.SubstituteFor == "" })
		switch {
		case i < 0 || l.Suspended || g.ownVoters(l) > 1 || g.age[g.voters[i].Id] > g.age[l.Id]:
		case g.voters[i].Id == g.status.ID:
			leader, forLeader = g.voters[i], l
		default:
			return g.voters[i], l
		}
	}
	return leader, forLeader
}

// returning returns a substitute and a learner of the domain whose vote it has, or nil.
func (g *members) returning() (*wire.Replica, *wire.Replica) {
	for _, l := range g.settled() {
		i := slices.IndexFunc(g.voters, func(v *wire.Replica) bool { return l.Domain != "" && v.SubstituteFor == l.Domain })
		if i >= 0 {
			return g.voters[i], l
		}
	}
	return nil, nil
}

// withoutPredecessor returns a learner that votes beside the others, or nil: nobody knows which
// voter it replaces, or it replaces none.
func (g *members) withoutPredecessor() *wire.Replica {
	for _, l := range g.settled() {
		if l.Suspended || g.ownVoters(l) != 1 {
			return l
		}
	}
	return nil
}

// ownVoters returns how many voters in the domain of the replica have votes of that domain.
func (g *members) ownVoters(r *wire.Replica) int {
	n := 0
	for _, v := range g.voters {
		if sameDomain(v, r) && v.SubstituteFor == "" {
			n++
		}
	}
	return n
}

func (g *members) allVotersRespond() bool {
	return !slices.ContainsFunc(g.voters, func(v *wire.Replica) bool { return !g.status.Reachable[v.Id] })
}

// keepsQuorum reports whether a majority of the voters that remain without the
// given one is reachable.
func (g *members) keepsQuorum(without uint64) bool {
	remaining, reachable := 0, 0
	for _, v := range g.voters {
		if v.Id == without {
			continue
		}
		remaining++
		if g.status.Reachable[v.Id] {
			reachable++
		}
	}
	return reachable >= remaining/2+1
}

// longestSilent returns the voter that has not responded for the longest time, or nil: a voter
// that is gone for good is silent for longer than one that is cut off and comes back.
func (g *members) longestSilent() *wire.Replica {
	if len(g.voters) == 0 {
		return nil
	}
	return slices.MaxFunc(g.voters, func(a, b *wire.Replica) int { return cmp.Compare(g.contacts[a.Id].silent, g.contacts[b.Id].silent) })
}

// sameDomain reports whether two replicas are known to be in one failure domain.
func sameDomain(a, b *wire.Replica) bool {
	return a.GetDomain() != "" && a.GetDomain() == b.GetDomain()
}

func withoutReplica(m *wire.Membership, id uint64) *wire.Membership {
	next := proto.Clone(m).(*wire.Membership)
	next.Replicas = slices.DeleteFunc(next.Replicas, func(r *wire.Replica) bool { return r.Id == id })
	return next
}

// exchanged returns the membership in which the voter is a learner and the learner a voter. Either
// may be nil: a voter without a successor is suspended until it has a vote of its own domain again. A
// learner becomes a substitute if it takes the vote of another domain than its own, which has a voter.
func exchanged(m *wire.Membership, voter, learner *wire.Replica) *wire.Membership {
	next := proto.Clone(m).(*wire.Membership)
	domainVotes := slices.ContainsFunc(m.GetReplicas(), func(r *wire.Replica) bool { return !r.Learner && sameDomain(r, learner) })
	substituteFor := cmp.Or(voter.GetSubstituteFor(), voter.GetDomain())
	if !domainVotes || substituteFor == learner.GetDomain() {
		substituteFor = ""
	}
	for _, r := range next.Replicas {
		switch r.Id {
		case voter.GetId():
			r.Learner, r.Suspended, r.SubstituteFor = true, r.Suspended || learner == nil, ""
		case learner.GetId():
			r.Learner, r.Suspended, r.SubstituteFor = false, r.Suspended && substituteFor != "", substituteFor
		}
	}
	return next
}

// withMember returns the membership with the replica as a learner, or nil if it is in it already
// with the same domain. A replica with an empty disk has the age of the one that had its
// address before, which is removed if it is a learner. One that returns with its log is older than
// all others: it is the successor of none.
func withMember(m *wire.Membership, r *wire.JoinRequest) *wire.Membership {
	next := proto.Clone(m).(*wire.Membership)
	if i := slices.IndexFunc(next.Replicas, func(x *wire.Replica) bool { return x.Id == r.Id }); i >= 0 {
		known := next.Replicas[i]
		if r.Domain == "" || r.Domain == known.Domain {
			return nil
		}
		known.Domain = r.Domain
		return next
	}
	added := &wire.Replica{Id: r.Id, Address: r.Address, Domain: r.Domain, Learner: true}
	position := len(next.Replicas)
	if r.Group != "" {
		position = 0
	}
	if i := slices.IndexFunc(next.Replicas, func(x *wire.Replica) bool { return x.Address == r.Address }); i >= 0 {
		position = i + 1
		added.Suspended = next.Replicas[i].Suspended
	}
	next.Replicas = slices.Insert(next.Replicas, position, added)
	next.Replicas = slices.DeleteFunc(next.Replicas, func(x *wire.Replica) bool { return x.Learner && x.Address == r.Address && x != added })
	return next
}
