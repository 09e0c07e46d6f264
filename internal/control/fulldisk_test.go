package control

import (
	"syscall"
	"testing"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// TestReplicaCommitsAgainOnceItsDiskHasRoom guards against a replica that ends because its disk
// was full for a moment. A limit on the size of files simulates the full disk.
func TestReplicaCommitsAgainOnceItsDiskHasRoom(t *testing.T) {
	if !runAlone(t) {
		return
	}
	s := blankServer(t)
	m := &wire.Membership{Replicas: []*wire.Replica{{Id: s.node.Identity().ID, Address: s.http.Address()}}}
	if err := s.bootstrap(t.Context(), &wire.BootstrapRequest{Group: replica.GroupName(m), Membership: m}); err != nil {
		t.Fatal(err)
	}
	commit := func() error {
		_, err := s.propose(t.Context(), &wire.Command{Body: &wire.Command_ConfirmLead{ConfirmLead: &wire.ConfirmLead{}}})
		return err
	}
	commitWithin := func(d time.Duration) {
		t.Helper()
		start := time.Now()
		for err := commit(); err != nil; err = commit() {
			if time.Since(start) > d {
				t.Fatalf("no commit within %v: %v", d, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	commitWithin(hangTimeout)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 16, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	err := commit()
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if fail.From(err).Ran != fail.RanUnknown {
		t.Errorf("commit on a full disk returned %v, want an unknown outcome", err)
	}
	commitWithin(hangTimeout)
}
