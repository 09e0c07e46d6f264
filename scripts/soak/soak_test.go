package main

import (
	"bytes"
	"io"
	"net"
	"os/exec"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/platform/standin"
)

func TestScheduleIsDeterministicPerSeed(t *testing.T) {
	a, b := schedule(7, 20*time.Second, defaultSize), schedule(7, 20*time.Second, defaultSize)
	if !slices.Equal(a, b) || len(a) < 10 {
		t.Errorf("one seed gives schedules of %d and %d steps, want equal schedules of 10 or more", len(a), len(b))
	}
	if slices.Equal(a, schedule(8, 20*time.Second, defaultSize)) {
		t.Error("seeds 7 and 8 give the same steps, want different ones")
	}
}

// TestScheduleWipesOneDiskAtATime checks that no control replica is stopped while
// another one that has lost its disk catches up.
func TestScheduleWipesOneDiskAtATime(t *testing.T) {
	down := []kind{killControl, pauseControl, stopControl, tornLog, killControls, killAll, wipeControl}
	rapid.Check(t, func(t *rapid.T) {
		steps := schedule(rapid.Uint64().Draw(t, "seed"), time.Minute, defaultSize)
		for i, wipe := range steps {
			if wipe.kind != wipeControl {
				continue
			}
			for j, s := range steps {
				if i == j || !slices.Contains(down, s.kind) {
					continue
				}
				apart := s.at >= wipe.at+wipe.duration+wipeMargin || wipe.at >= s.at+s.duration+wipeMargin
				if !apart {
					t.Fatalf("step %q overlaps step %q or is less than wipeMargin apart from it", s, wipe)
				}
			}
		}
	})
}

// echo starts a TCP server that echoes the bytes it receives, and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestProxyDisturbsOpenConnections(t *testing.T) {
	p, err := startProxy("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", p.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	roundTrip := func(c net.Conn, wait time.Duration) error {
		_ = c.SetDeadline(time.Now().Add(wait))
		if _, err := c.Write([]byte("ping")); err != nil {
			return err
		}
		got := make([]byte, 4)
		if _, err := io.ReadFull(c, got); err != nil {
			return err
		}
		if !bytes.Equal(got, []byte("ping")) {
			t.Fatalf("the echo server returned %q, want \"ping\"", got)
		}
		return nil
	}
	c := dial()
	if err := roundTrip(c, 5*time.Second); err != nil {
		t.Fatalf("request on an undisturbed link: %v", err)
	}
	p.set(linkState{delay: 50 * time.Millisecond})
	start := time.Now()
	if err := roundTrip(c, 5*time.Second); err != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("request on a link delayed by 50 ms each way: error %v after %v, want success after 100 ms or more", err, time.Since(start))
	}
	for _, s := range []linkState{{dropIn: true}, {dropOut: true}} {
		p.set(s)
		if err := roundTrip(dial(), 200*time.Millisecond); err == nil {
			t.Errorf("request on a link with state %+v got a response, want none", s)
		}
		p.set(linkState{})
	}
	p.reset()
	if err := roundTrip(c, 5*time.Second); err == nil {
		t.Error("request on a connection opened before a reset got a response, want an error")
	}
	if err := roundTrip(dial(), 5*time.Second); err != nil {
		t.Errorf("request on a new connection after a reset: %v", err)
	}
}

// shortSeeds are the seeds of TestShortSoak. Every seed that has ever failed is
// kept, with its cause.
var shortSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none"},
	{4, "SIGHUP during a graceful stop ended a gateway"},
	{100, "a request was sent while the gateway closed the idle connection, which is allowed"},
	{800, "a new leader did not count a crash of a suspect that it knew"},
	{233, "SIGTERM before the program handled signals, which is allowed"},
}

// TestShortSoak injects faults into the real programs for a few seconds per seed.
func TestShortSoak(t *testing.T) {
	bin := buildPrograms(t)
	for i, c := range shortSeeds {
		t.Run(strconv.FormatUint(c.seed, 10), func(t *testing.T) {
			t.Parallel()
			r, err := runSoak(t.Context(), options{
				dir: t.ArtifactDir(), bin: bin, run: firstTestRun + i, seed: c.seed, size: defaultSize, length: 7 * time.Second, series: 1,
				logLine: func(line string) { t.Log(line) },
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range r.violations {
				t.Error(violation)
			}
			if r.outcomes[standin.Served] == 0 || r.newestVersion == 0 {
				t.Error("no request was served or no fleet document was acknowledged, want at least one of each")
			}
		})
	}
}

// buildPrograms builds the programs of a system and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "parsleyramp/cmd/parsleyramp-gateway", "parsleyramp/cmd/parsleyramp-fleet")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

func TestRequestThatCrashesEveryEndpointIsRefusedAfterItsThirdCrash(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds), crashingRequest: true})
}

func TestPartThatCrashesEveryEndpointIsRefusedByItsFifthCrash(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 1, crashingPart: true})
}

func TestReadThatCrashesASmallServiceIsRefusedBeforeASecondWave(t *testing.T) {
	for i, endpoints := range []int{2, 3} {
		t.Run(strconv.Itoa(endpoints), func(t *testing.T) {
			size := defaultSize
			size.ledger = endpoints
			soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 2 + i, size: size, crashingRead: true})
		})
	}
}

func TestReadThatCrashesASmallServiceIsRefusedAlthoughItsLeaderIsLost(t *testing.T) {
	size := defaultSize
	size.ledger = 3
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 5, size: size, crashingRead: true, leaderChange: true})
}

func TestEndpointsGetNoMoreThanTheLimitsThatTheyName(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 4, limits: true})
}

func TestStreamsGoOnAtTheirSoftwareVersionAlthoughDomainsDie(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 6, versions: true})
}

func TestCallersOfGatewaysThatAreCutOffAreServed(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 7, cutOff: true})
}

func TestBrittleEndpointsSeldomFallOver(t *testing.T) {
	soakWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 8, brittle: true})
}

func TestQuotasHoldAndRemovedKeysRunNothing(t *testing.T) {
	checkWithoutFaults(t, options{run: firstTestRun + len(shortSeeds) + 9, workspaces: true}, func(d *driver, _ options) {
		d.checkRecovery()
		d.checkGreedy()
	})
}

// soakWithoutFaults runs a soak without faults but those that the options add.
func soakWithoutFaults(t *testing.T, o options) {
	checkWithoutFaults(t, o, func(d *driver, o options) { d.checkAll(o, nil) })
}

// checkWithoutFaults runs the checks, without other faults than theirs.
func checkWithoutFaults(t *testing.T, o options, checks func(*driver, options)) {
	t.Parallel()
	o.dir, o.bin, o.seed = t.ArtifactDir(), buildPrograms(t), 1
	if o.size.endpoints == 0 {
		o.size = defaultSize
	}
	o.logLine = func(line string) { t.Log(line) }
	r, err := runWith(t.Context(), o, checks)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range r.violations {
		t.Error(violation)
	}
}

// firstTestRun keeps the addresses of tests apart from those of manual runs.
const firstTestRun = 100
