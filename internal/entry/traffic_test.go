package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// inVirtualTime runs f in a synctest bubble, and reports the failure that f returns
// to rapid outside the bubble.
func inVirtualTime(t *testing.T, rt *rapid.T, f func() string) {
	failure := ""
	synctest.Test(t, func(*testing.T) { failure = f() })
	if failure != "" {
		rt.Fatal(failure)
	}
}

type plannedCall struct {
	at, cancelAt                time.Duration
	entry                       int
	stream, service, idempotent bool
}

func drawCalls(t *rapid.T, entries int) []plannedCall {
	calls := make([]plannedCall, rapid.IntRange(1, 12).Draw(t, "calls"))
	for i := range calls {
		c := &calls[i]
		// No two calls begin at the same time, so that their order is deterministic.
		c.at = time.Duration(rapid.IntRange(0, 500).Draw(t, "at"))*time.Millisecond + time.Duration(i)*time.Microsecond
		c.entry = rapid.IntRange(0, entries-1).Draw(t, "entry")
		c.service = rapid.IntRange(0, 3).Draw(t, "service") == 0
		c.stream = !c.service && rapid.Bool().Draw(t, "stream")
		c.idempotent = !c.service || rapid.Bool().Draw(t, "idempotent")
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
			c.cancelAt = time.Duration(rapid.IntRange(1, 300).Draw(t, "cancel at")) * time.Millisecond
		}
	}
	return calls
}

// TestResponseIntegrityUnderFaults interleaves calls, faults of engines and peers,
// cancellations and changes of owner. A response without an error is complete and
// belongs to the call. The part of a stream before an error is a prefix of it. An
// error has RanNo only if the call reached no endpoint. A non-idempotent call
// reaches an endpoint at most once.
func TestResponseIntegrityUnderFaults(t *testing.T) {
	fewerChecks(t, "300")
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		calls := drawCalls(rt, entries)
		faults := drawFaults(rt, 40)
		newOwners := rapid.SliceOfN(rapid.IntRange(0, entries-1), 0, 4).Draw(rt, "moves")
		inVirtualTime(t, rt, func() string {
			f := newFleet(4, entries)
			f.faults = faults
			stop := make(chan struct{})
			f.run(stop)
			var wg sync.WaitGroup
			failures := make([]string, len(calls))
			for i, c := range calls {
				wg.Go(func() { failures[i] = f.checkCall(fmt.Sprint("call-", i), c) })
			}
			for i, to := range newOwners {
				time.Sleep(100 * time.Millisecond)
				f.change(func(v *wire.View) {
					vm := v.Endpoints[i%len(v.Endpoints)]
					vm.Owner, vm.OwnerEpoch = fmt.Sprint("entry-", to), vm.OwnerEpoch+1
				})
			}
			wg.Wait()
			close(stop)
			time.Sleep(time.Minute)
			return strings.Join(failures, "")
		})
	})
}

func (f *fleet) checkCall(prompt string, c plannedCall) string {
	time.Sleep(c.at)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if c.cancelAt > 0 {
		time.AfterFunc(c.cancelAt, cancel)
	}
	got, err := f.entries[c.entry].call(ctx, newTestJob(prompt, c.stream, c.service, c.idempotent))
	f.mu.Lock()
	runs := f.runs[prompt]
	f.mu.Unlock()
	want := completeText(prompt, c.stream)
	switch {
	case err == nil && got != want:
		return fmt.Sprintf("%s: got %q, want the complete response\n", prompt, got)
	case err != nil && c.stream && !strings.HasPrefix(want, got):
		return fmt.Sprintf("%s: the part of the stream before the error is %q, not a prefix of the response\n", prompt, got)
	case err != nil && fail.From(err).Ran == fail.RanNo && runs > 0:
		return fmt.Sprintf("%s: error with ran=no, but it ran %d times: %v\n", prompt, runs, err)
	case !c.idempotent && runs > 1:
		return fmt.Sprintf("%s: non-idempotent, but ran %d times\n", prompt, runs)
	}
	return ""
}

// TestBrokenStreamResumes injects one fault into a stream: the client gets the
// complete response, even if an engine had sent a part of it. Only with a failed
// dial and a single replica it may not.
func TestBrokenStreamResumes(t *testing.T) {
	for _, x := range []fault{breakBeforeHead, breakInStream, respondBusy, failDial} {
		for replicas := 1; replicas <= 2; replicas++ {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(replicas, 1)
				f.setFirstFault(x)
				got, err := f.entries[0].call(t.Context(), newTestJob("call-1", true, false, true))
				unrecoverable := replicas == 1 && (x == failDial)
				if !unrecoverable && (err != nil || got != completeText("call-1", true)) {
					t.Errorf("fault %d with %d replicas: got %q, %v; want the complete response", x, replicas, got, err)
				}
			})
		}
	}
}

// TestPoisonRequestCrashesTwoEndpoints resends a request that crashes every engine
// through all entries, while other requests run. At most two engines crash, every
// other request gets its response, a broken stream without a crash creates no
// suspect, and the request is rejected as soon as it is quarantined.
func TestPoisonRequestCrashesTwoEndpoints(t *testing.T) {
	fewerChecks(t, "300")
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		resends := rapid.SliceOfN(rapid.IntRange(0, entries-1), 1, 6).Draw(rt, "resends")
		poison := rapid.IntRange(0, 3).Draw(rt, "poison") > 0
		starts := rapid.SliceOfN(rapid.IntRange(0, 4000), 1, 15).Draw(rt, "starts")
		inVirtualTime(t, rt, func() string {
			f := newFleet(5, entries)
			if !poison {
				f.setFirstFault(breakInStream)
			}
			stop := make(chan struct{})
			f.run(stop)
			var wg sync.WaitGroup
			failures := make([]string, len(starts)+1)
			for i, ms := range starts {
				wg.Go(func() {
					failures[i] = f.checkCall(fmt.Sprint("good-", i), plannedCall{at: time.Duration(ms)*time.Millisecond + time.Duration(i)*time.Microsecond, entry: i % entries, stream: i%2 == 0, idempotent: true})
					if failures[i] == "" && f.gotNoResponse(fmt.Sprint("good-", i)) {
						failures[i] = fmt.Sprintf("good-%d got no response\n", i)
					}
				})
			}
			if poison {
				failures[len(starts)] = f.resendPoison(resends)
			}
			wg.Wait()
			close(stop)
			time.Sleep(time.Minute)
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.crashes > 2 {
				failures = append(failures, fmt.Sprintf("%d engines crashed\n", f.crashes))
			}
			for _, s := range f.machine.View().Suspects {
				if !poison || s.State != wire.SuspectState_SUSPECT_STATE_CONVICTED {
					failures = append(failures, fmt.Sprintf("unexpected suspect: %v\n", s))
				}
			}
			if n := len(f.machine.View().Suspects); n > 1 {
				failures = append(failures, fmt.Sprintf("%d requests quarantined, want 1 at most\n", n))
			}
			return strings.Join(failures, "")
		})
	})
}

// resendPoison sends the poison request through each of the entries in turn, and
// checks that the last one rejects it as quarantined without delay.
func (f *fleet) resendPoison(entries []int) string {
	var lastErr error
	for _, i := range entries {
		began := time.Since(f.start)
		_, lastErr = f.entries[i].call(context.Background(), newTestJob(crashMark, false, false, true))
		f.mu.Lock()
		quarantinedAt := max(began, f.crashedAt)
		f.mu.Unlock()
		// A quarantined request is rejected at once, without a delay.
		if delay := time.Since(f.start) - quarantinedAt; fail.Is(lastErr, fail.Quarantined) && delay >= suspectPollInterval {
			return fmt.Sprintf("the final error was delayed by %s\n", delay)
		}
	}
	if len(entries) > 0 && !fail.Is(lastErr, fail.Quarantined) {
		return fmt.Sprintf("the poison request ended with %v, want it quarantined\n", lastErr)
	}
	return ""
}

// gotNoResponse reports whether the call ended with an error. checkCall accepts
// such a call.
func (f *fleet) gotNoResponse(prompt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.responded[prompt]
}

// TestLeavingEndpoint marks an endpoint as leaving under load through every entry,
// while an entry may get no more heartbeats and attempts may be delayed just before
// they are sent. Once the lease time has passed, no new request reaches the endpoint.
func TestLeavingEndpoint(t *testing.T) {
	fewerChecks(t, "300")
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.IntRange(1, 3).Draw(rt, "entries")
		stoppedEntry := rapid.IntRange(-1, entries-1).Draw(rt, "frozen")
		sendDelay := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "late")) * time.Millisecond
		faults := drawFaults(rt, 30)
		for i := range faults {
			if faults[i] != noFault {
				faults[i] = delaySend
			}
		}
		inVirtualTime(t, rt, func() string {
			f := newFleet(3, entries)
			f.faults, f.sendDelay = faults, sendDelay
			stop := make(chan struct{})
			f.run(stop)
			time.Sleep(300 * time.Millisecond)
			leavingSince := time.Since(f.start)
			f.mu.Lock()
			if stoppedEntry >= 0 {
				f.entries[stoppedEntry].heartbeatsStopped = true
			}
			f.mu.Unlock()
			f.change(func(v *wire.View) { v.Endpoints[0].Leaving = true })
			var wg sync.WaitGroup
			for i := range 60 {
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					_, _ = f.entries[i%entries].call(context.Background(), newTestJob(fmt.Sprint("call-", i), false, false, true))
				})
			}
			wg.Wait()
			close(stop)
			f.mu.Lock()
			defer f.mu.Unlock()
			if after := f.sentAt["engine-0"] - leavingSince; after > testLease {
				return fmt.Sprintf("a request was sent %v after the endpoint began to leave", after)
			}
			return ""
		})
	})
}

// TestFormerOwnerReportsRunningRequests moves an endpoint to another owner while a
// request runs there. The request completes, and the former owner reports it until
// then, so that the control plane does not unload its model.
func TestFormerOwnerReportsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		done := make(chan string)
		go func() {
			got, err := f.entries[1].call(context.Background(), newTestJob("call-1", true, false, true))
			done <- fmt.Sprint(got, err)
		}()
		time.Sleep(testInterval / 2)
		f.change(func(v *wire.View) {
			v.Endpoints[0].Owner, v.Endpoints[0].OwnerEpoch = "entry-1", 2
			v.Residents[0].State = wire.ResidentState_RESIDENT_STATE_DRAINING
		})
		for _, e := range f.entries {
			f.heartbeat(e)
		}
		var report wire.HeartbeatRequest
		f.entries[0].owner.report(&report)
		if len(report.Endpoints) != 1 || report.Endpoints[0].Residents[0].InFlight != 1 {
			t.Errorf("the former owner reports %v, want one endpoint with one request in flight", report.Endpoints)
		}
		if got := <-done; got != completeText("call-1", true)+"<nil>" {
			t.Errorf("got %q, want the complete response and no error", got)
		}
		report.Reset()
		f.entries[0].owner.report(&report)
		if len(report.Endpoints) != 0 || f.entries[0].owner.busy() {
			t.Errorf("after the request the former owner reports %v or is busy, want neither", report.Endpoints)
		}
	})
}

// TestLaggingViews starts a call while no view contains a replica, or while the
// owner of the only replica is unknown. The call succeeds once the views are
// current, and is rejected with RanNo otherwise.
func TestLaggingViews(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*wire.View)
		after    func(*wire.View)
		succeeds bool
	}{
		{"replica appears", func(v *wire.View) { v.Residents = nil }, func(v *wire.View) {
			v.Residents = []*wire.Resident{{Endpoint: "engine-0", Model: testModel, Version: "v1", State: wire.ResidentState_RESIDENT_STATE_READY}}
		}, true},
		{"no replica", func(v *wire.View) { v.Residents = nil }, func(*wire.View) {}, false},
		{"owner unknown", func(v *wire.View) { v.Endpoints[0].Owner = "gone" }, func(v *wire.View) { v.Endpoints[0].Owner = "entry-0" }, true},
		{"owner stays unknown", func(v *wire.View) { v.Endpoints[0].Owner = "gone" }, func(*wire.View) {}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 2)
				f.change(tt.before)
				stop := make(chan struct{})
				f.run(stop)
				time.Sleep(testHeartbeat)
				time.AfterFunc(testHeartbeat/2, func() { f.change(tt.after) })
				begun := time.Now()
				got, err := f.entries[1].call(t.Context(), newTestJob("call-1", false, false, true))
				close(stop)
				switch waited := time.Since(begun); {
				case tt.succeeds && (err != nil || got != completeText("call-1", false)):
					t.Errorf("got %q, %v; want the complete response", got, err)
				case !tt.succeeds && (err == nil || fail.From(err).Ran != fail.RanNo || fail.From(err).RetryAfter == 0):
					t.Errorf("got %v, want an error with ran=no and a Retry-After", err)
				case waited > maxTakeoverWait+testHeartbeat:
					t.Errorf("waited %v, want at most maxTakeoverWait and one heartbeat", waited)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestRejectedWithinTarget occupies every slot for a long time: a call that no
// endpoint can start in time is rejected with RanNo within its first-token target.
func TestRejectedWithinTarget(t *testing.T) {
	const target = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1)
		f.faults, f.sendDelay = []fault{delaySend}, testLease/2
		for i := range 20 {
			go func() {
				_, _ = f.entries[0].call(context.Background(), newTestJob(fmt.Sprint("long-", i), false, false, true))
			}()
		}
		time.Sleep(time.Millisecond)
		j := newTestJob("call-1", false, false, true)
		j.template.FirstTokenDeadlineMs = target.Milliseconds()
		begun := time.Now()
		_, err := f.entries[0].call(t.Context(), j)
		if f := fail.From(err); err == nil || f.Code != fail.Overloaded || f.Ran != fail.RanNo || f.RetryAfter == 0 {
			t.Errorf("got %v, want an overload error with ran=no and a Retry-After", err)
		}
		if waited := time.Since(begun); waited > target {
			t.Errorf("the rejection took %v with a target of %v", waited, target)
		}
		time.Sleep(time.Minute)
	})
}
