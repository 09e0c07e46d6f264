package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// bootstrapResult is the JSON output of bootstrap.
type bootstrapResult struct {
	Group    string `json:"group"`
	Replicas int    `json:"replicas"`
}

// jsonReplica is a control replica in the JSON output of members.
type jsonReplica struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Role     string `json:"role"`
	State    string `json:"state"`
	NextStep string `json:"next_step,omitempty"`
}

// jsonMembers is the JSON output of members. Fleet holds entries, endpoints,
// residents and open orders.
type jsonMembers struct {
	Replicas []jsonReplica   `json:"replicas"`
	Fleet    json.RawMessage `json:"fleet"`
}

func (t *tool) printMembers(m *wire.MembersResponse, states []replicaState) error {
	var out jsonMembers
	for i, r := range m.Membership.Replicas {
		out.Replicas = append(out.Replicas, jsonReplica{
			ID: strconv.FormatUint(r.Id, 10), Address: r.Address, Domain: r.Domain,
			Role: roleName(r, m.Leader), State: string(states[i]), NextStep: states[i].nextStep(r),
		})
	}
	fleet := proto.Clone(m).(*wire.MembersResponse)
	fleet.Membership = nil
	var err error
	if out.Fleet, err = encodeMessage(fleet); err != nil {
		return err
	}
	return t.printJSON(out)
}

// runDrain removes an entry from the list that clients fetch. The endpoints that
// it owns are assigned to other entries; it serves until it is stopped.
func runDrain(ctx context.Context, t *tool, args []string) error {
	if len(args) != 1 {
		return fail.New(fail.BadSettings, "one ENTRY is required")
	}
	var e *wire.EntryVM
	err := t.client().Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.DrainEntry(ctx, connect.NewRequest(&wire.DrainEntryRequest{Entry: args[0]}))
		if err == nil {
			e = r.Msg.Entry
		}
		return err
	})
	if err != nil {
		return err
	}
	if t.json {
		return t.printMessage(e)
	}
	fmt.Fprintf(t.out, "entry %s is draining until it restarts\nnext: once members shows no endpoint that it owns, send it SIGTERM\n", e.Id)
	return nil
}
