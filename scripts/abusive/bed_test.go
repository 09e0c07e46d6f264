package abusive

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"parsleyramp/internal/testnet"
	"parsleyramp/platform/standin"
	"parsleyramp/scripts/internal/testbed"
)

const (
	// memoryMB is the memory of each VM, in MB, and descriptors the number of descriptors that a
	// process may have open.
	memoryMB    = 64
	descriptors = 1024
	// reservedDescriptors are those that no client may take: a process needs them for
	// endpoints, other processes and files.
	reservedDescriptors = 128
	// answerTimeout bounds the wait for the answer to an ordinary request, over all attempts.
	answerTimeout = 60 * time.Second
	// attemptTimeout bounds one attempt, and attemptInterval is the pause between two.
	attemptTimeout  = 5 * time.Second
	attemptInterval = 100 * time.Millisecond
	startTimeout    = 60 * time.Second
)

// programs are those of the system; the rest is there for tests and operators.
var programs = []string{"parsleyramp-gateway", "parsleyramp-fleet", "parsleyramp-entry", "parsleyramp-control"}

// built is the folder with the built programs, which TestMain fills.
var built string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "parsleyramp-abusive-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		built = dir
		if err := build(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return m.Run()
	}())
}

// build builds the programs, each of the system's behind a script that lowers the limit on its
// descriptors.
func build(dir string) error {
	args := []string{"build", "-o", dir + "/", "parsleyramp/cmd/parsleyctl", "parsleyramp/cmd/parsleyramp-standin"}
	for _, p := range programs {
		args = append(args, "parsleyramp/cmd/"+p)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for _, p := range programs {
		path := filepath.Join(dir, p)
		if err := os.Rename(path, path+".bin"); err != nil {
			return err
		}
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", descriptors, path+".bin")
		if err := os.WriteFile(path, []byte(script), 0o755); err != nil {
			return err
		}
	}
	return nil
}

// target is a process that clients attack, and one of the addresses that it listens on.
type target struct {
	process *testbed.Process
	address string
	// probe is the path of a GET request that this address answers, with any status if empty.
	probe string
	// post is the path of a POST request with a body; host and contentType are its headers.
	post, host, contentType string
	// named is the beginning of a path under which clients name what they want.
	named string
}

// rpc is the content type of calls between processes.
const rpc = "application/proto"

// system is one running system.
type system struct {
	// targets holds the targets by a name for their address.
	targets map[string]target
	// request sends one ordinary request of a client.
	request func(ctx context.Context) error
}

// startFleet starts a control replica and a gateway with an endpoint of a plain service.
func startFleet(t *testing.T) *system {
	t.Helper()
	dir := t.TempDir()
	list, err := standin.NewLiveList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	host, _, _ := strings.Cut(testnet.Address(t), ":")
	endpoint, err := standin.NewEndpoint(host, standin.LedgerService, "d0", nil, standin.NewChecker())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Crash)
	list.Add(endpoint, endpoint.Address())
	go list.Run(stop)

	internal, operator := testnet.Address(t), testnet.Address(t)
	caller, ready, directory, metrics, peer := testnet.Address(t), testnet.Address(t), testnet.Address(t), testnet.Address(t), testnet.Address(t)
	control := launch(t, dir, "parsleyramp-fleet", map[string]any{
		"id": "control", "address": internal, "operator_address": operator, "domain": "d0", "data_folder": filepath.Join(dir, "control"),
		"live_list": list.Address(), "seeds": []string{operator}, "tolerated_losses": 0, "first_start": true, "memory_mb": memoryMB,
	})
	_, internalPort, _ := strings.Cut(internal, ":")
	var port int
	if _, err := fmt.Sscan(internalPort, &port); err != nil {
		t.Fatal(err)
	}
	gateway := launch(t, dir, "parsleyramp-gateway", map[string]any{
		"id": "gateway", "caller_address": caller, "ready_address": ready, "directory_address": directory, "metrics_address": metrics,
		"peer_address": peer, "domain": "d0", "control_seeds": []string{operator}, "control_port": port, "memory_mb": memoryMB,
	})
	document := standin.Document(1, &standin.Limits{Slots: 4, WeightsMB: 1000}, nil)
	eventually(t, startTimeout, func(ctx context.Context) error {
		if status := standin.NewOperator().Put(ctx, operator, document); status != http.StatusOK {
			return fmt.Errorf("the document is not acknowledged: status %d", status)
		}
		return nil
	})
	return &system{
		targets: map[string]target{
			"caller":    {gateway, caller, "", "/post/x", standin.Host, "", "/draft/"},
			"ready":     {gateway, ready, "/ready", "/ready", ready, "", "/ready?"},
			"directory": {gateway, directory, "/resolve", "/resolve", directory, "", "/resolve?zone="},
			"metrics":   {gateway, metrics, "/metrics", "/metrics", metrics, "", "/"},
			"peer":      {gateway, peer, "", "/parsleyramp.wire.PeerService/RecordStreams", peer, rpc, "/"},
			"internal":  {control, internal, "", "/parsleyramp.wire.ReplicaService/Deliver", internal, rpc, "/"},
			"operator":  {control, operator, "/config/get", "/config/put", operator, "application/json", "/config/get?"},
		},
		request: func(ctx context.Context) error {
			req, err := standin.Attempt{Kind: standin.AtMostOnce, ID: uuid.NewString()}.Request(ctx, caller)
			if err != nil {
				return err
			}
			return expectOK(req)
		},
	}
}

// startEntry starts a control replica and an entry with an engine and a plain service.
func startEntry(t *testing.T) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	const team, token = "desk", "desk-token"
	bed, err := testbed.New(t.TempDir(), built, testbed.Options{
		Size:       testbed.Size{Domains: 1, Controls: 1, Entries: 1, Engines: 1, Services: 1},
		TeamTokens: map[string]string{team: token}, EntrySettings: map[string]any{"memory_mb": memoryMB}, ControlSettings: map[string]any{"memory_mb": memoryMB},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.KillAll)
	if err := bed.StartAll(ctx); err != nil {
		t.Fatal(err)
	}
	file, err := bed.WriteJSON("section.json", map[string]any{"team": team, "services": []map[string]any{{"name": "ledger", "path": "/ledger/"}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bed.Ctl(ctx, token, "apply", file); err != nil {
		t.Fatal(err)
	}
	entry, control := bed.Entries[0], bed.Controls[0]
	return &system{
		targets: map[string]target{
			"caller":  {entry.Process, entry.Address, "/readyz", "/ledger/x", entry.Address, "", "/ledger/"},
			"peer":    {entry.Process, entry.PeerAddress, "", "/parsleyramp.wire.EntryService/Forward", entry.PeerAddress, rpc, "/"},
			"control": {control.Process, control.Address, "/healthz", "/parsleyramp.wire.OperatorService/Apply", control.Address, rpc, "/"},
		},
		request: func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address+"/ledger/pledges/1", nil)
			if err != nil {
				return err
			}
			return expectOK(req)
		},
	}
}

// launch starts a program of the system with the settings and stops it when the test ends.
func launch(t *testing.T, dir, program string, settings map[string]any) *testbed.Process {
	t.Helper()
	bed := &testbed.Bed{Dir: dir}
	file, err := bed.WriteJSON(program+".json", settings)
	if err != nil {
		t.Fatal(err)
	}
	p, err := testbed.Start(bed.Path(program+".log"), program, filepath.Join(built, program), "-settings", file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			logTail(t, bed.Path(program+".log"))
		}
		if p.Running() {
			p.Kill()
		}
	})
	return p
}

// logTailBytes bounds the end of a log that a failed test prints.
const logTailBytes = 2000

func logTail(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("end of %s:\n%s", filepath.Base(path), text[max(0, len(text)-logTailBytes):])
}

// expectOK sends the request on a new connection and expects a whole response with status 200.
func expectOK(req *http.Request) error {
	status, err := send(req)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("%s: status %d", req.URL, status)
	}
	return err
}

// send sends the request on a new connection and returns the status of a whole response.
func send(req *http.Request) (int, error) {
	ctx, cancel := context.WithTimeout(req.Context(), attemptTimeout)
	defer cancel()
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// answers sends one request to the target's address, which responds with any status, or with 200 to its probe.
func (g target) answers(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.address+g.probe, nil)
	if err != nil {
		return err
	}
	if g.probe != "" {
		return expectOK(req)
	}
	_, err = send(req)
	return err
}

// eventually calls f until it succeeds, and fails the test if it doesn't within the timeout.
func eventually(t *testing.T, timeout time.Duration, f func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Errorf("no success within %v: %v", timeout, err)
			return
		case <-time.After(attemptInterval):
		}
	}
}
