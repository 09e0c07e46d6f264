package controlclient

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wait"
)

var (
	notLeader   = rpcerror.ToConnect(fail.New(fail.NotLeader, "another replica is the leader"), "127.0.0.1:3")
	unavailable = connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	conflict    = rpcerror.ToConnect(fail.New(fail.Conflict, "no"), "")
)

// Each case gives Do a series of responses of control VMs. The error must not say
// that nothing took effect if one of the calls may have.
func TestDoFindsLeaderAndReportsOutcome(t *testing.T) {
	tests := []struct {
		name      string
		responses []error
		code      fail.Code
		ran       fail.Ran
		called    string
	}{
		{"first attempt", []error{nil}, "", "", "1"},
		{"next VM after unavailable", []error{unavailable, nil}, "", "", "12"},
		{"named leader", []error{notLeader, nil}, "", "", "13"},
		{"rejected by the leader", []error{conflict}, fail.Conflict, fail.RanNo, "1"},
		{"rejected after unavailable", []error{unavailable, conflict}, fail.Conflict, fail.RanUnknown, "12"},
		{"never a leader", []error{notLeader}, fail.Unavailable, fail.RanNo, ""},
		{"no leader after unavailable", []error{unavailable, notLeader}, fail.Unavailable, fail.RanUnknown, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				called, calls := "", 0
				err := New(http.DefaultClient, []string{"127.0.0.1:1", "127.0.0.1:2"}).Do(ctx, func(_ context.Context, c Conn) error {
					response := tt.responses[min(calls, len(tt.responses)-1)]
					calls++
					called += c.Address[len(c.Address)-1:]
					return response
				})
				if tt.called != "" && called != tt.called {
					t.Errorf("called VMs %s, want %s", called, tt.called)
				}
				if tt.code == "" && err != nil || tt.code != "" && (!fail.Is(err, tt.code) || fail.From(err).Ran != tt.ran) {
					t.Errorf("got %v, want %s with ran %s", err, tt.code, tt.ran)
				}
			})
		})
	}
}

func TestLeaderReachedLateIsCalledFirstNextTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(http.DefaultClient, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
		c.SetTimeouts(500*time.Millisecond, 30*time.Millisecond)
		exchange := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			defer cancel()
			return c.Do(ctx, func(ctx context.Context, conn Conn) error {
				leads := conn.Address == "127.0.0.1:3"
				if leads && wait.For(ctx, 200*time.Millisecond) {
					return nil
				}
				<-ctx.Done()
				return unavailable
			})
		}
		if err := exchange(); err == nil {
			t.Fatal("the first exchange succeeded, want its time spent on the two VMs that do not respond")
		}
		if err := exchange(); err != nil {
			t.Errorf("second exchange: %v, want the leader to be called first", err)
		}
	})
}

// callOrder calls Do until it succeeds and returns the last digits of the addresses
// that were called.
func callOrder(t *testing.T, c *Client, f func(ctx context.Context, address string) error) string {
	t.Helper()
	called := ""
	err := c.Do(t.Context(), func(ctx context.Context, conn Conn) error {
		called += conn.Address[len(conn.Address)-1:]
		return f(ctx, conn.Address)
	})
	if err != nil {
		t.Error(err)
	}
	return called
}

func TestLeaderThatIsNotReadyIsCalledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(http.DefaultClient, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
		start := time.Now()
		called := callOrder(t, c, func(_ context.Context, address string) error {
			if address == "127.0.0.1:3" && time.Since(start) > 250*time.Millisecond {
				return nil
			}
			return notLeader
		})
		if called != "1333" {
			t.Errorf("called VMs %s, want the named one until it is ready", called)
		}
	})
}

func TestPreferredLeaderEndsCallsToOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(http.DefaultClient, []string{"127.0.0.1:1", "127.0.0.1:2"})
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { c.Prefer("127.0.0.1:4") })
		called := callOrder(t, c, func(ctx context.Context, address string) error {
			if address == "127.0.0.1:4" {
				return nil
			}
			<-ctx.Done()
			return unavailable
		})
		if took := time.Since(start); called != "14" || took > 200*time.Millisecond+retryDelay {
			t.Errorf("called VMs %s in %v, want the preferred one right after the call that it ends", called, took)
		}
	})
}

func TestVMsThatHaveLeftTheGroupAreNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(http.DefaultClient, []string{"127.0.0.1:1"})
		c.SetMembers([]string{"127.0.0.1:2", "127.0.0.1:3"})
		c.SetMembers([]string{"127.0.0.1:3", "127.0.0.1:5"})
		calls := 0
		called := callOrder(t, c, func(context.Context, string) error {
			if calls++; calls < 5 {
				return unavailable
			}
			return nil
		})
		if called != "13513" {
			t.Errorf("called VMs %s, want the seed and the members of the group", called)
		}
	})
}

func TestConfirmedLeaderHasTheTimeOfTheCallerUntilItFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(http.DefaultClient, []string{"127.0.0.1:1", "127.0.0.1:2"})
		c.SetTimeouts(500*time.Millisecond, 30*time.Millisecond)
		c.Prefer("127.0.0.1:2")
		exchange := func(responseTime time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), 1200*time.Millisecond)
			defer cancel()
			return c.Do(ctx, func(ctx context.Context, conn Conn) error {
				if conn.Address == "127.0.0.1:2" && wait.For(ctx, responseTime) {
					return nil
				}
				<-ctx.Done()
				return unavailable
			})
		}
		if err := exchange(time.Second); err != nil {
			t.Errorf("exchange with a leader that responds after 1 s: %v", err)
		}
		if err := exchange(time.Minute); err == nil {
			t.Error("exchange with a leader that does not respond succeeded")
		}
		if err := exchange(time.Second); err == nil {
			t.Error("a leader that failed has more time than other VMs")
		}
	})
}
