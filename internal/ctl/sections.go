package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"parsleyramp/internal/closing"
	"parsleyramp/internal/control"
	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

const watchInterval = 200 * time.Millisecond

// errNotMet is the failure of a status that is not met.
var errNotMet = fail.New(fail.NoReplica, "the section is not met")

func readSection(args []string) ([]byte, *closing.Section, error) {
	if len(args) != 1 {
		return nil, nil, fail.New(fail.BadSettings, "one FILE is required")
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return nil, nil, fail.Wrap(err, fail.BadSettings, "read section")
	}
	s, err := closing.ParseError(text)
	return text, s, err
}

func runCheck(_ context.Context, t *tool, args []string) error {
	_, s, err := readSection(args)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "section of team %s is valid: %d models, %d services, %d classes\n", s.Team, len(s.Models), len(s.Services), len(s.Classes))
	return nil
}

func runApply(ctx context.Context, t *tool, args []string) error {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	base := flags.Int64("base", -1, "revision that the change was made on; the newest where left out")
	order := flags.String("order", "", "order id to repeat a change whose answer was lost")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	text, s, err := readSection(flags.Args())
	if err != nil {
		return err
	}
	client := t.client()
	if *base < 0 {
		current, err := getSection(ctx, client, s.Team)
		if err != nil {
			return err
		}
		*base = int64(current.GetRevision())
	}
	if *order == "" {
		*order = uuid.NewString()
	}
	req := connect.NewRequest(&wire.ApplyRequest{Team: s.Team, BaseRevision: uint64(*base), OrderId: *order, Text: text})
	req.Header().Set(control.HeaderToken, t.token)
	var record *wire.ApplyRecord
	err = client.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.Apply(ctx, req)
		if err == nil {
			record = r.Msg.Record
		}
		return err
	})
	if err != nil {
		f := fail.From(err)
		if f.Ran != fail.RanNo || f.Code == fail.Unavailable {
			return fail.Wrap(err, f.Code, fmt.Sprintf("the outcome is not known; repeat with: apply -base %d -order %s", *base, *order))
		}
		return err
	}
	return reportApply(t, record)
}

func reportApply(t *tool, r *wire.ApplyRecord) error {
	switch r.Outcome {
	case wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		fmt.Fprintf(t.out, "accepted: team=%s revision=%d order=%s\n", r.Team, r.Revision, r.OrderId)
		return nil
	case wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
		return fail.New(fail.Conflict, r.Detail+"; get the section, merge and apply again")
	case wire.ApplyOutcome_APPLY_OUTCOME_INVALID:
		return fail.New(fail.BadDocument, r.Detail)
	}
	return fail.New(fail.Conflict, r.Detail)
}

func getSection(ctx context.Context, client *controlclient.Client, team string) (*wire.Section, error) {
	var s *wire.Section
	err := client.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.GetSection(ctx, connect.NewRequest(&wire.GetSectionRequest{Team: team}))
		if err == nil {
			s = r.Msg.Section
		}
		return err
	})
	return s, err
}

func runGet(ctx context.Context, t *tool, args []string) error {
	if len(args) != 1 {
		return fail.New(fail.BadSettings, "one TEAM is required")
	}
	s, err := getSection(ctx, t.client(), args[0])
	if err != nil {
		return err
	}
	if s == nil {
		return fail.New(fail.UnknownRequest, "team "+args[0]+" has no section")
	}
	_, err = t.out.Write(s.Text)
	return err
}

var statusNames = map[wire.ChangeStatus]string{
	wire.ChangeStatus_CHANGE_STATUS_ACCEPTED: "accepted",
	wire.ChangeStatus_CHANGE_STATUS_IN_FORCE: "in force",
	wire.ChangeStatus_CHANGE_STATUS_MET:      "met",
	wire.ChangeStatus_CHANGE_STATUS_NOT_MET:  "not met",
}

func runStatus(ctx context.Context, t *tool, args []string) error {
	flags := flag.NewFlagSet("status", flag.ContinueOnError)
	watch := flags.Bool("watch", false, "wait until the section is met")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	if flags.NArg() != 1 {
		return fail.New(fail.BadSettings, "one TEAM is required")
	}
	client := t.client()
	for {
		s, err := getStatus(ctx, client, flags.Arg(0))
		if err != nil {
			return err
		}
		met := s.Status == wire.ChangeStatus_CHANGE_STATUS_MET
		if met || !*watch || ctx.Err() != nil {
			printStatus(t, s)
			if !met {
				return errNotMet
			}
			return nil
		}
		select {
		case <-ctx.Done():
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

func printStatus(t *tool, s *wire.StatusResponse) {
	fmt.Fprintf(t.out, "team=%s revision=%d status=%q\n", s.Section.Team, s.Section.Revision, statusNames[s.Status])
	if len(s.LaggingEntries) > 0 {
		fmt.Fprintf(t.out, "not yet acknowledged by: %s\n", strings.Join(s.LaggingEntries, ", "))
	}
	for _, u := range s.Unmet {
		fmt.Fprintf(t.out, "not met: %s\n", u)
	}
}
