package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

const (
	catchUpPollInterval = 100 * time.Millisecond
	// replaceTimeout bounds one call, so that it responds before the client's
	// attempt times out. The client then calls again.
	replaceTimeout = time.Second
)

// replaceReplica executes the steps of a replacement until it is complete. Each
// step follows from the current membership, so a repeated call, also to a new
// leader, continues where the last one stopped. An error with a RetryAfter means
// that the replacement is still in progress.
func (s *Server) replaceReplica(ctx context.Context, r *wire.ReplaceReplicaRequest) (*wire.Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	for {
		status, err := s.node.Status(ctx)
		if err != nil {
			return nil, err
		}
		if !status.Leading {
			return nil, fail.New(fail.NotLeader, "this replica does not lead")
		}
		next, err := nextMembership(status, r)
		if err == nil && next == nil {
			return status.Membership, nil
		}
		if err == nil {
			err = s.node.ProposeMembership(ctx, next)
		}
		if err == nil {
			continue
		}
		if fail.From(err).RetryAfter == 0 {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(catchUpPollInterval):
		}
	}
}

// nextMembership returns the membership after the next step of a replacement, or
// nil if the replacement is complete. The new replica first catches up as a
// learner. An unreachable replica is removed before the new one is promoted,
// because it only raises the quorum; a reachable one is removed last.
func nextMembership(s replica.Status, r *wire.ReplaceReplicaRequest) (*wire.Membership, error) {
	if r.Add == nil && r.RemoveId == 0 || r.Add != nil && (r.Add.Id == 0 || r.Add.Id == r.RemoveId) {
		return nil, fail.New(fail.BadRequest, "a replacement needs a replica to add, one to remove, or both with different IDs")
	}
	m := proto.Clone(s.Membership).(*wire.Membership)
	removed, added := findReplica(m, r.RemoveId), findReplica(m, r.Add.GetId())
	switch {
	case r.Add != nil && added == nil:
		learner := proto.Clone(r.Add).(*wire.Replica)
		learner.Learner = true
		m.Replicas = append(m.Replicas, learner)
		return m, nil
	case added != nil && added.Learner && !s.CaughtUp[added.Id]:
		return nil, catchingUpError(s, added)
	case removed != nil && (removed.Learner || !s.Reachable[removed.Id]):
		return checkQuorum(s, withoutReplica(m, removed.Id))
	case added != nil && added.Learner:
		added.Learner = false
		return checkQuorum(s, m)
	case removed != nil:
		return checkQuorum(s, withoutReplica(m, removed.Id))
	}
	return nil, nil
}

func catchingUpError(s replica.Status, r *wire.Replica) error {
	message := fmt.Sprintf("replica %d at %s is catching up with the log; run the same command again to continue", r.Id, r.Address)
	if !s.Reachable[r.Id] {
		message = fmt.Sprintf("replica %d at %s does not respond to the leader; check that it runs and is blank, then run the same command again", r.Id, r.Address)
	}
	return fail.New(fail.MembershipChange, message).WithRetryAfter(catchUpPollInterval)
}

// checkQuorum rejects a membership in which the reachable voters are not a
// quorum: it could never commit anything again.
func checkQuorum(s replica.Status, m *wire.Membership) (*wire.Membership, error) {
	voters, reachable := 0, 0
	var missing []string
	for _, r := range m.Replicas {
		if r.Learner {
			continue
		}
		voters++
		if s.Reachable[r.Id] {
			reachable++
		} else {
			missing = append(missing, fmt.Sprintf("%d at %s", r.Id, r.Address))
		}
	}
	if reachable < voters/2+1 {
		return nil, fail.New(fail.MembershipChange, fmt.Sprintf(
			"membership change rejected: only %d of the %d remaining voters are reachable; first restore or replace replica %v", reachable, voters, missing))
	}
	return m, nil
}

func findReplica(m *wire.Membership, id uint64) *wire.Replica {
	i := slices.IndexFunc(m.Replicas, func(r *wire.Replica) bool { return id != 0 && r.Id == id })
	if i < 0 {
		return nil
	}
	return m.Replicas[i]
}

func withoutReplica(m *wire.Membership, id uint64) *wire.Membership {
	m.Replicas = slices.DeleteFunc(m.Replicas, func(r *wire.Replica) bool { return r.Id == id })
	return m
}
