package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/transport"
)

func writeFile(t testing.TB, path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

const deskSection = `{
  // The section of team desk.
  "team": "desk",
  "models": [{"name": "purity", "version": "%s", "memory_mb": 16}],
  "classes": [{"name": "counter", "first_token_ms": 690}]
}`

var orderID = regexp.MustCompile(`-base (\d+) -order (\S+)`)

// TestOperatorCommands runs every subcommand against three control servers and two
// entries, then after the loss of one control server and of the majority.
func TestOperatorCommands(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1", f.controls)
	f.startEntry("entry-2", f.controls)
	f.waitFor("both entries to register", func() bool {
		_, out := f.run("members")
		return strings.Contains(out, "entry-1") && strings.Contains(out, "entry-2")
	})
	one := f.sectionFile("one.jsonc", fmt.Sprintf(deskSection, "1"))
	two := f.sectionFile("two.jsonc", fmt.Sprintf(deskSection, "2"))
	expect := func(want int, contains string, args ...string) string {
		t.Helper()
		code, out := f.run(args...)
		if code != want || !strings.Contains(out, contains) {
			t.Fatalf("%v: exit %d, want %d with %q, output:\n%s", args, code, want, contains, out)
		}
		return out
	}
	expect(0, "is valid", "check", one)
	expect(ExitInvalid, "line 4: /models/0/version", "check", f.sectionFile("bad.jsonc", fmt.Sprintf(deskSection, "")))
	expect(2, "one FILE", "check")
	expect(ExitUnauthorized, "PARSLEYRAMP_TOKEN", "-token", "wrong", "apply", one)
	expect(ExitUnauthorized, "section of team desk", "-token", "other", "apply", one)
	expect(ExitInvalid, "more than 1048576", "apply", f.sectionFile("large.jsonc", fmt.Sprintf(deskSection, "1")+strings.Repeat(" ", 1<<20)))
	expect(1, "no section", "get", "desk")

	first := expect(0, "accepted: team=desk revision=1", "apply", "-base", "0", one)
	expect(ExitConflict, "run get, merge", "apply", "-base", "0", two)
	order := orderID.FindStringSubmatch(first)
	expect(0, "revision=1", "apply", "-base", order[1], "-order", order[2], one)
	expect(ExitConflict, "used with another text", "apply", "-base", order[1], "-order", order[2], two)
	expect(2, "-order needs the -base", "apply", "-order", order[2], one)
	expect(0, "changed model purity", "diff", two)
	expect(0, `status="met"`, "status", "-watch", "desk")
	expect(0, "desk/purity@1", "explain", "desk/purity")
	var status jsonStatus
	if err := json.Unmarshal([]byte(expect(0, "", "-json", "status", "desk")), &status); err != nil || !status.Applied {
		t.Fatalf("status %+v: %v", status, err)
	}
	for _, args := range [][]string{{"check", one}, {"diff", two}, {"get", "desk"}, {"explain", "desk/purity"}, {"members"}, {"drain", "entry-2"}} {
		if out := expect(0, "", append([]string{"-json"}, args...)...); !json.Valid([]byte(out)) {
			t.Fatalf("%v did not print valid JSON: %s", args, out)
		}
	}

	f.waitFor("the drained entry to own no endpoint", func() bool {
		m, err := getMembers(t.Context(), controlclient.New(transport.NewPeerClient(), f.controls))
		return err == nil && m.Entries[1].Draining && m.Endpoints[0].Owner == "entry-1"
	})
	expect(1, "no live entry", "drain", "entry-3")

	// With the leader stopped, the remaining majority still serves every command.
	f.stops[f.leader()]()
	expect(0, "revision=2", "apply", "-base", "1", two)
	expect(0, "revision=1", "apply", "-base", order[1], "-order", order[2], one)
	expect(0, fmt.Sprintf(deskSection, "2"), "get", "desk")
	expect(0, `revision=2 status="met"`, "status", "-watch", "desk")

	// Without a majority the commands fail and report it.
	f.stops[f.leader()]()
	expect(ExitNoLeader, "majority", "-timeout", "3s", "apply", "-base", "2", one)
}

// applyAndWait applies a new version and returns the time until the status
// reports that it is applied on every entry.
func (f *fleet) applyAndWait(version int) time.Duration {
	path := f.sectionFile("s.jsonc", fmt.Sprintf(deskSection, fmt.Sprint(version)))
	start := time.Now()
	if code, out := f.run("apply", path); code != 0 {
		f.t.Fatalf("apply: %d %s", code, out)
	}
	for applied := false; !applied; {
		_, out := f.run("-json", "status", "desk")
		applied = strings.Contains(out, `"in_force": true`)
	}
	return time.Since(start)
}

func (f *fleet) liveEntries() int {
	m, err := getMembers(context.Background(), controlclient.New(transport.NewPeerClient(), f.controls))
	if err != nil {
		return 0
	}
	live := 0
	for _, e := range m.Entries {
		if e.Live {
			live++
		}
	}
	return live
}

func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50_ms")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "p99_ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkApplyOnAllEntries measures the time from sending a change until the
// status reports that it is applied on every entry.
func BenchmarkApplyOnAllEntries(b *testing.B) {
	for _, entries := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b)
			for i := range entries {
				f.startEntry(fmt.Sprintf("entry-%02d", i), f.controls)
			}
			f.waitFor("every entry to be live", func() bool { return f.liveEntries() == entries })
			time.Sleep(time.Second)
			var times []time.Duration
			for b.Loop() {
				times = append(times, f.applyAndWait(len(times)+1))
			}
			reportTimes(b, times)
		})
	}
}

// BenchmarkApplyWithPartitionedEntry is like BenchmarkApplyOnAllEntries, but one of
// the entries is partitioned from the leader just before the change, without its
// connections closing.
func BenchmarkApplyWithPartitionedEntry(b *testing.B) {
	const entries = 3
	f := newFleet(b)
	p := newCountingProxy(b, f.leader())
	f.startEntry("entry-00", []string{p.address})
	f.startEntry("entry-01", f.controls)
	f.startEntry("entry-02", f.controls)
	var times []time.Duration
	for b.Loop() {
		p.partitioned.Store(false)
		f.waitFor("every entry to be live", func() bool { return f.liveEntries() == entries })
		p.partitioned.Store(true)
		times = append(times, f.applyAndWait(len(times)+1))
	}
	p.partitioned.Store(false)
	reportTimes(b, times)
}

// BenchmarkIdleLeader measures the bytes per second that the entries and the
// control leader exchange while nothing changes.
func BenchmarkIdleLeader(b *testing.B) {
	const window = 10 * time.Second
	for _, entries := range []int{1, 9, 27} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			f := newFleet(b)
			p := newCountingProxy(b, f.leader())
			for i := range entries {
				f.startEntry(fmt.Sprintf("entry-%02d", i), []string{p.address})
			}
			time.Sleep(5 * time.Second)
			sent, received := p.sent.Load(), p.received.Load()
			for b.Loop() {
				time.Sleep(window)
			}
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(p.received.Load()-received)/seconds, "leader_sends_B/s")
			b.ReportMetric(float64(p.sent.Load()-sent)/seconds, "leader_receives_B/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkUnreadinessOnLeaderLoss measures how long an entry is not ready, for lack
// of a lease, after the control leader is lost.
func BenchmarkUnreadinessOnLeaderLoss(b *testing.B) {
	const poll, window = 10 * time.Millisecond, 5 * time.Second
	var gaps []time.Duration
	for b.Loop() {
		f := newFleet(b)
		address := f.startEntry("entry-1", f.controls)
		ready := func() bool {
			resp, err := http.Get("http://" + address + "/readyz")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}
		f.waitFor("the entry to be ready", ready)
		time.Sleep(time.Second)
		go f.stops[f.leader()]()
		var gap time.Duration
		for start := time.Now(); time.Since(start) < window; time.Sleep(poll) {
			if !ready() {
				gap += poll
			}
		}
		gaps = append(gaps, gap)
	}
	reportTimes(b, gaps)
}
