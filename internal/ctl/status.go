package ctl

import (
	"context"
	"flag"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

const watchInterval = 200 * time.Millisecond

// errNotReconciled is returned by status when the section is not reconciled.
var errNotReconciled = fail.New(fail.NoReplica, "the section is not reconciled")

var statusNames = map[wire.ChangeStatus]string{
	wire.ChangeStatus_CHANGE_STATUS_ACCEPTED: "accepted",
	wire.ChangeStatus_CHANGE_STATUS_IN_FORCE: "in force",
	wire.ChangeStatus_CHANGE_STATUS_MET:      "met",
	wire.ChangeStatus_CHANGE_STATUS_NOT_MET:  "not met",
}

// runStatus prints the status of a team's section. With -watch it prints every
// change of the status until the section is reconciled or the time-out elapses.
func runStatus(ctx context.Context, t *tool, args []string) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	flags.SetOutput(t.errOut)
	watch := flags.Bool("watch", false, "print every change until the section is reconciled")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	if flags.NArg() != 1 {
		return fail.New(fail.BadSettings, "one TEAM is required")
	}
	client := t.client()
	var last *wire.StatusResponse
	for {
		s, err := getStatus(ctx, client, flags.Arg(0))
		if err != nil && last != nil && ctx.Err() != nil {
			return errNotReconciled
		}
		if err != nil {
			return err
		}
		if !proto.Equal(last, s) {
			if err := t.printStatus(s); err != nil {
				return err
			}
		}
		last = s
		if s.Status == wire.ChangeStatus_CHANGE_STATUS_MET {
			return nil
		}
		if !*watch {
			return errNotReconciled
		}
		select {
		case <-ctx.Done():
			return errNotReconciled
		case <-time.After(watchInterval):
		}
	}
}

func getStatus(ctx context.Context, client *controlclient.Client, team string) (*wire.StatusResponse, error) {
	var s *wire.StatusResponse
	err := client.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.Status(ctx, connect.NewRequest(&wire.StatusRequest{Team: team}))
		if err == nil {
			s = r.Msg
		}
		return err
	})
	return s, err
}

// jsonStatus is the JSON output of status. Applied reports whether every entry that
// holds a lease has acknowledged the section.
type jsonStatus struct {
	Team           string   `json:"team"`
	Revision       uint64   `json:"revision"`
	Status         string   `json:"status"`
	Applied        bool     `json:"in_force"`
	LaggingEntries []string `json:"lagging_entries"`
	Unmet          []string `json:"unmet"`
}

func (t *tool) printStatus(s *wire.StatusResponse) error {
	if t.json {
		return t.printJSON(jsonStatus{
			Team: s.Section.Team, Revision: s.Section.Revision, Status: statusNames[s.Status],
			Applied:        len(s.LaggingEntries) == 0,
			LaggingEntries: append([]string{}, s.LaggingEntries...), Unmet: append([]string{}, s.Unmet...),
		})
	}
	fmt.Fprintf(t.out, "team=%s revision=%d status=%q\n", s.Section.Team, s.Section.Revision, statusNames[s.Status])
	for _, e := range s.LaggingEntries {
		fmt.Fprintf(t.out, "not yet acknowledged by: %s\n", e)
	}
	for _, u := range s.Unmet {
		fmt.Fprintf(t.out, "not met: %s\n", u)
	}
	return nil
}
