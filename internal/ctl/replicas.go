package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

func identify(ctx context.Context, address string) (*wire.IdentifyResponse, wireconnect.BootstrapServiceClient, error) {
	c := wireconnect.NewBootstrapServiceClient(transport.NewPeerClient(), "http://"+address)
	r, err := c.Identify(ctx, connect.NewRequest(&wire.IdentifyRequest{}))
	if err != nil {
		f, _ := rpcerror.FromConnect(err)
		return nil, nil, fail.Wrap(f, fail.Unavailable, "control VM "+address)
	}
	return r.Msg, c, nil
}

// runBootstrap forms a group of the VMs given by -control. It is idempotent: a
// second run continues where an interrupted one stopped. It fails if any of the VMs
// belongs to another group, because a second group would lose what the first one
// has accepted.
func runBootstrap(ctx context.Context, t *tool, _ []string) error {
	membership := &wire.Membership{}
	var clients []wireconnect.BootstrapServiceClient
	var groups []string
	for _, a := range t.control {
		id, c, err := identify(ctx, a)
		if err != nil {
			return err
		}
		membership.Replicas = append(membership.Replicas, &wire.Replica{Id: id.Id, Address: a, Domain: id.Domain})
		clients = append(clients, c)
		groups = append(groups, id.Group)
	}
	group := replica.GroupName(membership)
	for i, g := range groups {
		if g != "" && g != group {
			return fail.New(fail.MembershipChange, "control VM "+t.control[i]+" belongs to group "+g+
				" of other replicas; to add a blank VM to a group use replace, not bootstrap")
		}
	}
	for i, c := range clients {
		if _, err := c.Bootstrap(ctx, connect.NewRequest(&wire.BootstrapRequest{Group: group, Membership: membership})); err != nil {
			f, _ := rpcerror.FromConnect(err)
			return fail.Wrap(f, f.Code, "control VM "+t.control[i]+" (run the same command again)")
		}
	}
	if t.json {
		return t.printJSON(bootstrapResult{group, len(clients)})
	}
	fmt.Fprintf(t.out, "group %s formed with %d replicas\n", group, len(clients))
	return nil
}

func runMembers(ctx context.Context, t *tool, _ []string) error {
	m, err := getMembers(ctx, t.client())
	if err != nil {
		return err
	}
	states := replicaStates(ctx, m.Membership)
	if t.json {
		return t.printMembers(m, states)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REPLICA\tADDRESS\tDOMAIN\tROLE\tSTATE")
	for i, r := range m.Membership.Replicas {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", r.Id, r.Address, r.Domain, roleName(r, m.Leader), states[i])
	}
	for i, r := range m.Membership.Replicas {
		if next := states[i].nextStep(r); next != "" {
			fmt.Fprintln(w, "next: "+next)
		}
	}
	fmt.Fprintln(w, "\nENTRY\tADDRESS\tDOMAIN\tLIVE\tDRAINING")
	for _, e := range m.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\n", e.Id, e.CallerAddress, e.Domain, e.Live, e.Draining)
	}
	fmt.Fprintln(w, "\nENDPOINT\tADDRESS\tDOMAIN\tOWNER\tLEAVING\tREACHABLE")
	for _, e := range m.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%t\n", e.Id, e.Address, e.Domain, e.Owner, e.Leaving, e.Reachable)
	}
	return w.Flush()
}

func roleName(r *wire.Replica, leader uint64) string {
	switch {
	case r.Id == leader:
		return "leader"
	case r.Learner:
		return "learner"
	}
	return "voter"
}

// replicaState is the state of a replica as seen from parsleyctl. It is printed
// as it is written here.
type replicaState string

const (
	stateResponding   replicaState = "answers"
	stateUnresponsive replicaState = "no answer"
	stateReplaced     replicaState = "another replica answers"
)

// identifyTimeout bounds the identify call to one replica.
const identifyTimeout = time.Second

func replicaStates(ctx context.Context, m *wire.Membership) []replicaState {
	states := make([]replicaState, len(m.Replicas))
	var wg sync.WaitGroup
	for i, r := range m.Replicas {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
			defer cancel()
			id, _, err := identify(ctx, r.Address)
			switch {
			case err != nil:
				states[i] = stateUnresponsive
			case id.Id != r.Id:
				states[i] = stateReplaced
			default:
				states[i] = stateResponding
			}
		})
	}
	wg.Wait()
	return states
}

// nextStep returns what the operator must do about the replica, or "".
func (s replicaState) nextStep(r *wire.Replica) string {
	switch {
	case s == stateUnresponsive:
		return fmt.Sprintf("restart the control VM at %s; if its disk is lost, run: parsleyctl replace -remove %d -add IP:PORT-OF-A-BLANK-VM", r.Address, r.Id)
	case s == stateReplaced:
		return fmt.Sprintf("the disk at %s was emptied; run: parsleyctl replace -remove %d -add %s", r.Address, r.Id, r.Address)
	case r.Learner:
		return fmt.Sprintf("replica %d has no vote yet; run again: parsleyctl replace -add %s, with the same -remove as before", r.Id, r.Address)
	}
	return ""
}

// buildReplaceRequest parses the flags of replace and fetches the id of the blank VM.
func buildReplaceRequest(ctx context.Context, args []string) (*wire.ReplaceReplicaRequest, error) {
	flags := flag.NewFlagSet("replace", flag.ContinueOnError)
	removeID := flags.String("remove", "", "id of the lost replica, as members prints it")
	addAddress := flags.String("add", "", "ip:port of the blank control VM")
	if err := flags.Parse(args); err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, "flags")
	}
	req := &wire.ReplaceReplicaRequest{}
	if *removeID != "" {
		id, err := strconv.ParseUint(*removeID, 10, 64)
		if err != nil {
			return nil, fail.Wrap(err, fail.BadSettings, "-remove")
		}
		req.RemoveId = id
	}
	if *addAddress != "" {
		id, _, err := identify(ctx, *addAddress)
		if err != nil {
			return nil, err
		}
		req.Add = &wire.Replica{Id: id.Id, Address: *addAddress, Domain: id.Domain}
	}
	return req, nil
}

// runReplace adds the blank control VM at an address and removes a lost one. It
// retries until the replacement is complete. If the time-out elapses first, it
// returns the latest error that asked for a retry, if any, because that states what
// the replacement is waiting for.
func runReplace(ctx context.Context, t *tool, args []string) error {
	req, err := buildReplaceRequest(ctx, args)
	if err != nil {
		return err
	}
	var m *wire.Membership
	var pendingErr error
	for {
		err = t.client().Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
			r, err := c.Operator.ReplaceReplica(ctx, connect.NewRequest(req))
			if err == nil {
				m = r.Msg.Membership
			}
			return err
		})
		if err == nil {
			break
		}
		if delay := fail.From(err).RetryAfter; delay > 0 {
			pendingErr = err
		}
		if pendingErr != nil && ctx.Err() != nil {
			return pendingErr
		}
		if pendingErr != err {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fail.From(err).RetryAfter):
		}
	}
	if t.json {
		return t.printMessage(m)
	}
	t.printMembership(m)
	return nil
}

func (t *tool) printMembership(m *wire.Membership) {
	voters := 0
	for _, r := range m.Replicas {
		fmt.Fprintf(t.out, "replica %d at %s is a %s\n", r.Id, r.Address, roleName(r, 0))
		if !r.Learner {
			voters++
		}
	}
	if voters%2 == 0 {
		fmt.Fprintf(t.out, "next: %d voters tolerate no more lost replicas than %d; remove a lost replica or add a blank VM\n", voters, voters-1)
		return
	}
	fmt.Fprintln(t.out, "done. next: put the new address into the control lists of the entries' settings")
}
