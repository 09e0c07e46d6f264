// Package ctl implements the subcommands of parsleyctl, the operators' tool.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/program"
	"parsleyramp/internal/transport"
)

// Exit codes in addition to those that every program has.
const (
	ExitInvalid       = 4
	ExitConflict      = 5
	ExitNotReconciled = 6
	ExitNoLeader      = 7
	ExitUnauthorized  = 8
)

// exitCodes maps failure codes to exit codes. Any other failure exits with
// program.ExitFailed.
var exitCodes = map[fail.Code]int{
	fail.BadDocument:  ExitInvalid,
	fail.Conflict:     ExitConflict,
	fail.Unavailable:  ExitNoLeader,
	fail.NotLeader:    ExitNoLeader,
	fail.BadSettings:  program.ExitUsage,
	fail.BadRequest:   program.ExitUsage,
	fail.Unauthorized: ExitUnauthorized,
	fail.Overloaded:   ExitNoLeader,
}

// command is one subcommand.
type command struct {
	name  string
	usage string
	run   func(ctx context.Context, t *tool, args []string) error
}

var commands = []command{
	{"bootstrap", "form a new group of the blank control VMs given by -control", runBootstrap},
	{"check", "FILE: check a section without sending it", runCheck},
	{"diff", "FILE: compare a section with the accepted one", runDiff},
	{"apply", "[-base N] [-order ID] FILE: apply a section", runApply},
	{"get", "TEAM: print the accepted section", runGet},
	{"status", "[-watch] TEAM: show whether the section is applied on all entries and reconciled", runStatus},
	{"explain", "TEAM/MODEL: show for each engine whether it has the model, and why", runExplain},
	{"members", "list replicas, entries and endpoints; with -json also residents and open orders", runMembers},
	{"drain", "ENTRY: direct no clients to an entry until it restarts", runDrain},
	{"replace", "[-remove ID] [-add IP:PORT]: replace a lost replica by a blank one", runReplace},
}

// tool holds the outputs and the global flags, which all subcommands share.
type tool struct {
	out     io.Writer
	errOut  io.Writer
	control []string
	token   string
	json    bool
	timeout time.Duration
}

func (t *tool) client() *controlclient.Client {
	return controlclient.New(transport.NewPeerClient(), t.control)
}

// Main runs the subcommand named in args and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut}
	flags := flag.NewFlagSet("parsleyctl", flag.ContinueOnError)
	flags.SetOutput(errOut)
	control := flags.String("control", "127.0.0.1:7101", "control VMs as ip:port, separated by commas")
	flags.StringVar(&t.token, "token", "", "the team's token; other users of the machine may see it")
	tokenFile := flags.String("token-file", "", "file that holds the team's token; PARSLEYRAMP_TOKEN holds it otherwise")
	flags.BoolVar(&t.json, "json", false, "print JSON")
	flags.DurationVar(&t.timeout, "timeout", 10*time.Second, "time-out of the whole command")
	flags.Usage = func() { usage(flags, errOut) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return program.ExitOK
		}
		return program.ExitUsage
	}
	t.control = strings.Split(*control, ",")
	for _, c := range commands {
		if c.name == flags.Arg(0) {
			ctx, cancel := context.WithTimeout(ctx, t.timeout)
			defer cancel()
			err := t.readToken(*tokenFile)
			if err == nil {
				err = c.run(ctx, t, flags.Args()[1:])
			}
			return t.exitCode(err)
		}
	}
	usage(flags, errOut)
	return program.ExitUsage
}

func usage(flags *flag.FlagSet, w io.Writer) {
	fmt.Fprintln(w, "usage: parsleyctl [flags] COMMAND [arguments]")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-10s %s\n", c.name, c.usage)
	}
	flags.PrintDefaults()
}

// readToken sets the token from the file or else the environment, unless the
// -token flag is set.
func (t *tool) readToken(path string) error {
	if t.token != "" {
		return nil
	}
	t.token = os.Getenv("PARSLEYRAMP_TOKEN")
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fail.Wrap(err, fail.BadSettings, "-token-file")
	}
	t.token = strings.TrimSpace(string(data))
	return nil
}

// exitCode prints a failure and returns its exit code. errNotReconciled is not
// printed, because the status command has printed the status already.
func (t *tool) exitCode(err error) int {
	if err == nil {
		return program.ExitOK
	}
	if errors.Is(err, errNotReconciled) {
		return ExitNotReconciled
	}
	code, ok := exitCodes[fail.From(err).Code]
	if !ok {
		code = program.ExitFailed
	}
	t.printFailure(t.errOut, err, code)
	return code
}
