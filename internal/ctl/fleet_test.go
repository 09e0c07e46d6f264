package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/control"
	"parsleyramp/internal/entry"
	"parsleyramp/internal/livelist"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/testnet"
)

// fleet runs real control and entry servers in this process, on loopback.
type fleet struct {
	t        testing.TB
	log      *logrus.Entry
	engine   *standin.Engine
	liveList string
	controls []string
	stops    map[string]func()
}

// newFleet bootstraps a group of three control servers with one stand-in engine.
func newFleet(t testing.TB) *fleet {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	f := &fleet{t: t, log: logrus.NewEntry(discard), stops: map[string]func(){}}
	f.engine = standin.NewEngine(standin.EngineConfig{ID: "engine-1", MemoryBytes: 1 << 30, Slots: 4})
	engine := httptest.NewServer(f.engine)
	t.Cleanup(engine.Close)
	list := httptest.NewServer(standin.NewLiveList([]livelist.VM{
		{ID: "engine-1", Kind: livelist.KindEngine, Address: engine.Listener.Addr().String(), Domain: "d1", State: livelist.Live},
	}, 0))
	t.Cleanup(list.Close)
	f.liveList = list.Listener.Addr().String()
	for i := range 3 {
		f.startControl(fmt.Sprint("d", i+1))
	}
	if code, out := f.run("bootstrap"); code != 0 {
		t.Fatalf("bootstrap: %d %s", code, out)
	}
	f.waitFor("a leader to be elected", func() bool { code, _ := f.run("members"); return code == 0 })
	return f
}

func (f *fleet) startControl(domain string) {
	cfg := control.DefaultSettings()
	cfg.Address, cfg.Domain, cfg.DataFolder, cfg.LiveList = testnet.Address(f.t), domain, f.t.TempDir(), f.liveList
	cfg.TeamTokens = map[string]settings.Secret{"desk": "secret", "bench": "other"}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := control.Start(ctx, cfg, 0, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.controls = append(f.controls, cfg.Address)
	stop := func() {
		if f.stops[cfg.Address] == nil {
			return
		}
		delete(f.stops, cfg.Address)
		stopCtx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = s.Shutdown(stopCtx, cancel)
	}
	f.stops[cfg.Address] = stop
	f.t.Cleanup(stop)
}

// startEntry starts an entry and returns its address for clients.
func (f *fleet) startEntry(id string, controls []string) string {
	cfg := entry.DefaultSettings()
	cfg.ID, cfg.Domain, cfg.Control = id, "d1", controls
	cfg.CallerAddress, cfg.PeerAddress = testnet.Address(f.t), testnet.Address(f.t)
	cfg.KeepAddresses = settings.Duration(time.Millisecond)
	s, err := entry.Start(cfg, 1, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	stop := func() {
		if f.stops[id] == nil {
			return
		}
		delete(f.stops, id)
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = s.Shutdown(ctx)
	}
	f.stops[id] = stop
	f.t.Cleanup(stop)
	return cfg.CallerAddress
}

// run runs parsleyctl and returns its exit code and output.
func (f *fleet) run(args ...string) (int, string) {
	var out, errOut bytes.Buffer
	all := append([]string{"-control", strings.Join(f.controls, ","), "-token", "secret", "-timeout", "60s"}, args...)
	code := Main(context.Background(), all, &out, &errOut)
	return code, out.String() + errOut.String()
}

// waitFor polls the condition. It fails after 600 polls, 100 ms apart, which is
// far longer than the servers need.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("gave up after 600 polls waiting for %s", what)
}

func (f *fleet) leader() string {
	_, out := f.run("members")
	for line := range strings.Lines(out) {
		if fields := strings.Fields(line); len(fields) >= 4 && fields[3] == "leader" {
			return fields[1]
		}
	}
	f.t.Fatalf("members lists no leader:\n%s", out)
	return ""
}

// countingProxy forwards connections and counts the bytes in both directions.
// While partitioned is set it forwards nothing and closes nothing, as a network
// partition does.
type countingProxy struct {
	partitioned    atomic.Bool
	address        string
	sent, received atomic.Int64
}

func newCountingProxy(t testing.TB, target string) *countingProxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	p := &countingProxy{address: l.Addr().String()}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp4", target)
			if err != nil {
				from.Close()
				continue
			}
			go p.forward(to, from, &p.sent)
			go p.forward(from, to, &p.received)
		}
	}()
	return p
}

func (p *countingProxy) forward(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		count.Add(int64(n))
		for p.partitioned.Load() {
			time.Sleep(time.Millisecond)
		}
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (f *fleet) sectionFile(name, text string) string {
	path := filepath.Join(f.t.TempDir(), name)
	writeFile(f.t, path, text)
	return path
}
