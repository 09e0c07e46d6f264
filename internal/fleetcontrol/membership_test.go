package fleetcontrol

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// knownReplica is the text of a replica as its leader knows it: its id, its domain, and flags.
var knownReplica = regexp.MustCompile(`^(\d+)([a-e]?)([LsMSbntx]*)(?:@(\d+))?(?:/([a-e]))?$`)

// parseMembers returns the status of replica 1 as a leader, of replicas in the order of admission.
// "4aLb@3" is replica 4 in domain a, at the address that replica 3 had. Flags: L a learner, s silent
// for less than silentTimeout, M for some seconds, S for a minute, b behind, n silent until less than settleTime ago, t about to stop,
// x suspended. "1a/b" is a substitute for domain b.
func parseMembers(t *testing.T, text string) (replica.Status, map[uint64]contact) {
	t.Helper()
	s := replica.Status{ID: 1, Membership: &wire.Membership{}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}, Stopping: map[uint64]bool{}}
	contacts := map[uint64]contact{}
	for word := range strings.FieldsSeq(text) {
		parts := knownReplica.FindStringSubmatch(word)
		if parts == nil {
			t.Fatalf("not a replica: %s", word)
		}
		id, err := strconv.ParseUint(parts[1], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		has := func(flag string) bool { return strings.Contains(parts[3], flag) }
		address := parts[1]
		if parts[4] != "" {
			address = parts[4]
		}
		s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{
			Id: id, Address: address, Domain: parts[2], Learner: has("L"), Suspended: has("x"), SubstituteFor: parts[5],
		})
		c := contact{steady: time.Minute}
		switch {
		case has("s"):
			c = contact{silent: silentTimeout - 1}
		case has("M"):
			c = contact{silent: 3 * time.Second}
		case has("S"):
			c = contact{silent: time.Minute}
		case has("n"):
			c = contact{steady: settleTime - 1}
		}
		contacts[id] = c
		s.Reachable[id], s.CaughtUp[id], s.Stopping[id] = c.silent == 0, !has("b"), has("t")
	}
	return s, contacts
}

// describe returns the difference between two memberships as text: "+4 -1" if replica 4 gets a
// vote and replica 1 loses its own, "removed 3" if replica 3 leaves.
func describe(from, to *wire.Membership) string {
	if to == nil {
		return "none"
	}
	var gained, others []string
	for _, old := range from.Replicas {
		i := slices.IndexFunc(to.Replicas, func(r *wire.Replica) bool { return r.Id == old.Id })
		switch {
		case i < 0:
			others = append(others, fmt.Sprint("removed ", old.Id))
		case old.Learner && !to.Replicas[i].Learner:
			gained = append(gained, fmt.Sprint("+", old.Id))
		case !old.Learner && to.Replicas[i].Learner:
			others = append(others, fmt.Sprint("-", old.Id))
		}
		if i >= 0 && old.SubstituteFor == "" && to.Replicas[i].SubstituteFor != "" {
			others = append(others, fmt.Sprint(old.Id, " for ", to.Replicas[i].SubstituteFor))
		}
	}
	return strings.Join(append(gained, others...), " ")
}

// TestNextMembership guards against voters that no longer count: a replica whose successor runs
// has no vote, and no replica votes beside as many as the group needs.
func TestNextMembership(t *testing.T) {
	for _, c := range []struct {
		name      string
		tolerated int
		members   string
		want      string
	}{
		{"all voters respond", 1, "1a 2b 3c", "none"},
		{"newer replica of a domain", 1, "1a 2b 3c 4bL", "+4 -2"},
		{"newer replica that has not settled", 1, "1a 2b 3c 4bLn", "none"},
		{"newer replica that is behind", 1, "1a 2b 3c 4bLb", "none"},
		{"newer replica that stops", 1, "1a 2b 3c 4bLt", "none"},
		{"newer replica while another voter may be gone", 1, "1a 2b 3cs 4bL", "none"},
		{"older replica of a domain", 1, "1a 2bL 3c 4b", "none"},
		{"newest of three replicas of a domain", 1, "1a 2bL 3c 4b 5bL", "+5 -4"},
		{"newer replica of the leader's domain", 1, "1a 2b 3c 4aL", "+4 -1"},
		{"the leader changes places last", 1, "1a 2b 3c 4aL 5bL", "+5 -2"},
		{"replica of a domain with two voters", 2, "1a 2b 3b 4c 5d 6bL", "+6"},
		{"older replica of a domain with two voters", 2, "1a 2bL 3b 4c 5d 6b", "+2"},
		{"replica of a domain with three voters", 2, "1a 2b 3b 4c 5d 6b 7bL", "+7"},
		{"replica of one of two domains with two voters", 2, "1a 2a 3b 4b 5c 6aL", "+6"},
		{"replicas of two domains with two voters, one of them votes", 2, "1a 2a 3b 4b 5c 6a 7bL", "+7"},
		{"three and two voters of a domain", 2, "1a 2a 3b 4b 5c 6a", "none"},
		{"no domains", 1, "1 2 3 4L", "+4"},
		{"no domains, not settled", 1, "1 2 3 4Ln", "none"},
		{"no domain of the voters", 1, "1 2 3 4aL", "+4"},
		{"replica in a domain of its own", 1, "1a 2b 3c 4dL", "+4"},
		{"successor beside a replica in a domain of its own", 1, "1a 2b 3c 4d 5cL", "+5 -3"},
		{"replica whose vote a substitute has", 1, "1a/b 2bL 3c 4a", "+2 -1"},
		{"successor of a replica whose vote a substitute has", 1, "1a/b 3c 4a 5bL", "+5 -1"},
		{"older replica of a domain with a vote that a substitute has", 2, "1bL 2a/b 3b 4c 5d 6a", "+1 -2"},
		{"replica of the domain of a substitute", 1, "1a/b 2bLM 3c 4a 5aL", "+5 -4"},
		{"older replica of the domain of a substitute", 1, "1a/b 2bLM 3c 4aL 5a", "none"},
		{"silent substitute", 1, "1aM/b 3c 4a 5cL", "+5 -1 5 for b"},
		{"suspended voter", 2, "1a 2aLx 3b 4c 5d 6e", "+2"},
		{"suspended voter that is silent", 2, "1a 2aLMx 3b 4c 5d 6e", "none"},
		{"silent voter and an older replica of its domain", 1, "1a 2bL 3c 4bM", "+2 -4"},
		{"silent voter and a newer replica that has not settled", 1, "1a 2bM 3c 4bLn", "+4 -2"},
		{"silent voter and a replica of another domain", 1, "1a 2b 3cM 4bL", "+4 -3 4 for c"},
		{"silent voter and replicas of two domains", 1, "1a 2b 3cM 4bL 5cL", "+5 -3"},
		{"silent voter and a replica without a domain", 1, "1 2 3M 4L", "+4 -3"},
		{"silent voter and a learner that is behind", 1, "1a 2b 3cM 4cLb", "none"},
		{"silent voter and a silent learner", 1, "1a 2b 3cM 4cLM", "none"},
		{"silent voter and no learner", 1, "1a 2b 3cS", "none"},
		{"voter that is silent for a short time", 1, "1a 2b 3cs 4cL", "none"},
		{"the longest silent of two voters", 2, "1a 2b 3c 4dM 5eS 6dL", "+6 -5 6 for e"},
		{"lost disk", 1, "1a 2b 3cM 9cLn@3", "+9 removed 3"},
		{"lost disk, and the new one is behind", 1, "1a 2b 3cM 9cLb@3", "none"},
		{"lost disk, and another learner", 1, "1aL 2b 3c 4aM 9aLb@4", "+1 removed 4"},
		{"too few voters", 2, "1a 2b 3c 4aL 5dL", "+5"},
		{"too few voters, one of them silent", 1, "1a 2bS 3cL", "+3"},
		{"too many voters, two of them of a domain", 1, "1a 2b 3c 4b", "none"},
		{"too many voters, each in a domain of its own", 1, "1a 2b 3c 4d", "none"},
		{"too many voters of unknown domains", 1, "1 2 3 4", "none"},
		{"too many voters, and an older replica of a domain", 1, "1aL 2b 3c 4a 5d", "none"},
		{"too many voters, one silent", 1, "1 2 3 4M", "-4"},
		{"too many voters, one silent for a short time", 1, "1 2 3 4s", "none"},
		{"too many voters, and only one of two silent ones is lost", 1, "1 2 3 4M 5S 6L", "-5"},
		{"silent learner", 1, "1a 2b 3c 4aLS", "removed 4"},
		{"learner that is silent for some seconds", 1, "1a 2b 3c 4aLM", "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, contacts := parseMembers(t, c.members)
			next, _ := nextMembership(s, contacts, (&Settings{ToleratedLosses: c.tolerated}).minVoters())
			if got := describe(s.Membership, next); got != c.want {
				t.Errorf("membership change %q, want %q", got, c.want)
			}
		})
	}
}

// TestVotersThatAreGoneDoNotLastInTheQuorum guards against a group that cannot elect a
// leader after the loss of replicas that it should bear, because replicas that have left
// for good still count.
func TestVotersThatAreGoneDoNotLastInTheQuorum(t *testing.T) {
	for _, c := range []struct {
		voters, gone, tolerated int
		silent                  time.Duration
		want                    string
	}{
		{voters: 7, gone: 2, tolerated: 2, silent: time.Minute, want: "-6"},
		{voters: 6, gone: 1, tolerated: 2, silent: 3 * time.Second, want: "-6"},
		{voters: 5, gone: 2, tolerated: 1, silent: time.Minute, want: "-4"},
		{voters: 7, gone: 3, tolerated: 2, silent: time.Minute, want: "-5"},
		{voters: 5, gone: 2, tolerated: 1, silent: 3 * time.Second, want: "-4"},
		{voters: 5, gone: 1, tolerated: 1, silent: time.Minute, want: "-5"},
		{voters: 5, gone: 1, tolerated: 1, silent: 3 * time.Second, want: "-5"},
		{voters: 5, gone: 1, tolerated: 1, silent: time.Second, want: "-5"},
		{voters: 5, gone: 1, tolerated: 1, silent: silentTimeout - 1, want: "none"},
		{voters: 7, gone: 1, tolerated: 2, silent: 3 * time.Second, want: "-7"},
		{voters: 5, gone: 1, tolerated: 2, silent: time.Minute, want: "none"},
		{voters: 3, gone: 1, tolerated: 1, silent: time.Minute, want: "none"},
		{voters: 7, gone: 4, tolerated: 2, silent: time.Minute, want: "none"},
		// A commit has to be on three disks if two may be lost.
		{voters: 5, gone: 2, tolerated: 2, silent: time.Minute, want: "none"},
		{voters: 4, gone: 1, tolerated: 2, silent: time.Minute, want: "none"},
	} {
		t.Run(fmt.Sprintf("%d of %d for %v, %d tolerated", c.gone, c.voters, c.silent, c.tolerated), func(t *testing.T) {
			s := replica.Status{Membership: &wire.Membership{}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
			contacts := map[uint64]contact{}
			for i := range c.voters {
				id := uint64(i + 1)
				s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{Id: id, Address: fmt.Sprint("a", id)})
				if i < c.voters-c.gone {
					s.Reachable[id], s.CaughtUp[id] = true, true
				} else {
					contacts[id] = contact{silent: c.silent}
				}
			}
			cfg := Settings{ToleratedLosses: c.tolerated}
			next, _ := nextMembership(s, contacts, cfg.minVoters())
			if got := describe(s.Membership, next); got != c.want {
				t.Errorf("membership change %q, want %q", got, c.want)
			}
		})
	}
}

// TestAdmission tests the place of a replica in the order of admission, and that a member records
// its domain.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		name, members string
		request       *wire.JoinRequest
		want          string
	}{
		{"new replica", "1a 2b 3c", &wire.JoinRequest{Id: 4, Address: "4", Domain: "a"}, "1a 2b 3c 4aL"},
		{"replica with a log", "1a 2b 3c", &wire.JoinRequest{Id: 4, Address: "4", Domain: "a", Group: "g"}, "4aL 1a 2b 3c"},
		{"voter with an emptied disk", "1a 2b 3c", &wire.JoinRequest{Id: 9, Address: "2", Domain: "b"}, "1a 2b 9bL@2 3c"},
		{"suspended voter with an emptied disk", "1aLx 2b 3c 4d", &wire.JoinRequest{Id: 9, Address: "1", Domain: "a"}, "9aLx@1 2b 3c 4d"},
		{"learner with an emptied disk", "1aL 2b 3c 4a", &wire.JoinRequest{Id: 9, Address: "1", Domain: "a"}, "9aL@1 2b 3c 4a"},
		{"member", "1a 2b 3c", &wire.JoinRequest{Id: 2, Address: "2", Domain: "b", Group: "g"}, ""},
		{"member of an older build", "1a 2b 3c", &wire.JoinRequest{Id: 2, Address: "2", Group: "g"}, ""},
		{"member whose domain is not recorded", "1 2b 3c", &wire.JoinRequest{Id: 1, Address: "1", Domain: "a", Group: "g"}, "1a 2b 3c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, _ := parseMembers(t, c.members)
			next := withMember(s.Membership, c.request)
			var want *wire.Membership
			if c.want != "" {
				status, _ := parseMembers(t, c.want)
				want = status.Membership
			}
			if got := fmt.Sprint(next); got != fmt.Sprint(want) {
				t.Errorf("membership %s, want %v", got, want)
			}
		})
	}
}
