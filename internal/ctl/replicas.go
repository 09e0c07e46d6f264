package ctl

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
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

// runBootstrap forms a group. It refuses where any VM belongs to one already,
// for a second group would forget what the first accepted.
func runBootstrap(ctx context.Context, t *tool, _ []string) error {
	membership := &wire.Membership{}
	var clients []wireconnect.BootstrapServiceClient
	for _, a := range t.control {
		id, c, err := identify(ctx, a)
		if err != nil {
			return err
		}
		if id.Group != "" {
			return fail.New(fail.MembershipChange, "control VM "+a+" belongs to group "+id.Group+" already")
		}
		membership.Replicas = append(membership.Replicas, &wire.Replica{Id: id.Id, Address: a, Domain: id.Domain})
		clients = append(clients, c)
	}
	group := uuid.NewString()
	for _, c := range clients {
		if _, err := c.Bootstrap(ctx, connect.NewRequest(&wire.BootstrapRequest{Group: group, Membership: membership})); err != nil {
			f, _ := rpcerror.FromConnect(err)
			return f
		}
	}
	fmt.Fprintf(t.out, "group %s formed with %d replicas\n", group, len(clients))
	return nil
}

func runMembers(ctx context.Context, t *tool, _ []string) error {
	var m *wire.MembersResponse
	err := t.client().Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.Members(ctx, connect.NewRequest(&wire.MembersRequest{}))
		if err == nil {
			m = r.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REPLICA\tADDRESS\tDOMAIN\tROLE")
	for _, r := range m.Membership.Replicas {
		role := "voter"
		switch {
		case r.Id == m.Leader:
			role = "leader"
		case r.Learner:
			role = "learner"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Id, r.Address, r.Domain, role)
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

// runReplace adds the blank control VM at an address and removes a lost one.
func runReplace(ctx context.Context, t *tool, args []string) error {
	flags := flag.NewFlagSet("replace", flag.ContinueOnError)
	lost := flags.String("remove", "", "id of the lost replica, as members prints it")
	added := flags.String("add", "", "ip:port of the blank control VM")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	req := &wire.ReplaceReplicaRequest{}
	if *lost != "" {
		id, err := strconv.ParseUint(*lost, 10, 64)
		if err != nil {
			return fail.Wrap(err, fail.BadSettings, "-remove")
		}
		req.RemoveId = id
	}
	if *added != "" {
		id, _, err := identify(ctx, *added)
		if err != nil {
			return err
		}
		req.Add = &wire.Replica{Id: id.Id, Address: *added, Domain: id.Domain}
	}
	var m *wire.Membership
	err := t.client().Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.ReplaceReplica(ctx, connect.NewRequest(req))
		if err == nil {
			m = r.Msg.Membership
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, r := range m.Replicas {
		fmt.Fprintf(t.out, "replica %d at %s learner=%t\n", r.Id, r.Address, r.Learner)
	}
	return nil
}
