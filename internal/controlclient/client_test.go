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
