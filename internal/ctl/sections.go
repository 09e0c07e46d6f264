package ctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"parsleyramp/internal/control"
	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/desired"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

func readSection(args []string) ([]byte, *desired.Section, error) {
	if len(args) != 1 {
		return nil, nil, fail.New(fail.BadSettings, "one FILE is required")
	}
	info, err := os.Stat(args[0])
	if err != nil {
		return nil, nil, fail.Wrap(err, fail.BadSettings, "read section")
	}
	if info.Size() > desired.MaxSectionBytes {
		return nil, nil, fail.New(fail.BadDocument, fmt.Sprintf("the section is %d bytes long, more than %d", info.Size(), desired.MaxSectionBytes))
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return nil, nil, fail.Wrap(err, fail.BadSettings, "read section")
	}
	s, err := desired.ParseSection(text)
	return text, s, err
}

// sectionSummary is the JSON output of check: the numbers of declared items.
type sectionSummary struct {
	Team     string `json:"team"`
	Models   int    `json:"models"`
	Services int    `json:"services"`
	Classes  int    `json:"classes"`
}

func runCheck(_ context.Context, t *tool, args []string) error {
	_, s, err := readSection(args)
	if err != nil {
		return err
	}
	if t.json {
		return t.printJSON(sectionSummary{s.Team, len(s.Models), len(s.Services), len(s.Classes)})
	}
	fmt.Fprintf(t.out, "section of team %s is valid: %d models, %d services, %d classes\n", s.Team, len(s.Models), len(s.Services), len(s.Classes))
	return nil
}

// sectionDiff is the JSON output of diff. Revision is that of the accepted section.
type sectionDiff struct {
	Team     string           `json:"team"`
	Revision uint64           `json:"revision"`
	Changes  []desired.Change `json:"changes"`
}

// runDiff prints the differences between the accepted section and a file.
func runDiff(ctx context.Context, t *tool, args []string) error {
	_, next, err := readSection(args)
	if err != nil {
		return err
	}
	accepted, err := getSection(ctx, t.client(), next.Team)
	if err != nil {
		return err
	}
	var old *desired.Section
	if accepted != nil {
		if old, err = desired.ParseSection(accepted.Text); err != nil {
			return err
		}
	}
	d := sectionDiff{Team: next.Team, Revision: accepted.GetRevision(), Changes: desired.Diff(old, next)}
	if t.json {
		return t.printJSON(d)
	}
	fmt.Fprintf(t.out, "team %s, against revision %d: %d changes\n", d.Team, d.Revision, len(d.Changes))
	for _, c := range d.Changes {
		fmt.Fprintln(t.out, c)
	}
	return nil
}

func runApply(ctx context.Context, t *tool, args []string) error {
	flags := flag.NewFlagSet("apply", flag.ContinueOnError)
	flags.SetOutput(t.errOut)
	base := flags.Int64("base", -1, "revision that the change is based on; the latest if left out")
	order := flags.String("order", "", "order id, to resend a change whose response was lost")
	if err := flags.Parse(args); err != nil {
		return fail.Wrap(err, fail.BadSettings, "flags")
	}
	text, s, err := readSection(flags.Args())
	if err != nil {
		return err
	}
	client := t.client()
	if *base < 0 && *order != "" {
		return fail.New(fail.BadSettings, "-order needs the -base that it was first used with")
	}
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
	// The order id is printed before anything is sent, so that the operator can
	// resend the change with the same id even if this process dies.
	retryCommand := fmt.Sprintf("apply -base %d -order %s %s", *base, *order, flags.Arg(0))
	fmt.Fprintln(t.errOut, "sending; if no response arrives, retry with:", retryCommand)
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
	if err != nil && fail.From(err).Ran != fail.RanNo {
		return fail.Wrap(err, fail.From(err).Code, "the outcome is unknown; retry with: "+retryCommand)
	}
	if err != nil {
		return err
	}
	return reportApply(t, record)
}

func reportApply(t *tool, r *wire.ApplyRecord) error {
	switch r.Outcome {
	case wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED:
		if t.json {
			return t.printMessage(r)
		}
		fmt.Fprintf(t.out, "accepted: team=%s revision=%d order=%s\n", r.Team, r.Revision, r.OrderId)
		return nil
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

// acceptedSection is the JSON output of get.
type acceptedSection struct {
	Team     string    `json:"team"`
	Revision uint64    `json:"revision"`
	Accepted time.Time `json:"accepted"`
	Text     string    `json:"text"`
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
	if t.json {
		return t.printJSON(acceptedSection{s.Team, s.Revision, time.UnixMilli(s.AcceptedUnixMs).UTC(), string(s.Text)})
	}
	fmt.Fprintf(t.errOut, "revision %d\n", s.Revision)
	if _, err := t.out.Write(s.Text); err != nil {
		return fail.Wrap(err, fail.Internal, "write section")
	}
	return nil
}
