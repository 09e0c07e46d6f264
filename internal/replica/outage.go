package replica

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// storageRetryInterval is the time between two attempts to open storage that refuses
	// writes.
	storageRetryInterval = 250 * time.Millisecond
	// storageLogInterval is the time between two log lines while storage refuses writes.
	storageLogInterval = 10 * time.Second
)

// outage is the time from a failed write until the storage is open again. The node then
// neither sends nor processes messages, and answers no call that needs the core. It
// starts again from the stored state, as after a restart of the process.
type outage struct {
	since, retryAt, loggedAt time.Duration
	// status is the last one, updated with the leader that sends messages.
	status Status
}

// errStorageFailing has the code of a replica that does not lead, so that callers turn to
// the leader.
var errStorageFailing = fail.New(fail.NotLeader, "this replica takes no part in its group until its storage takes writes again")

// suspend begins an outage after a failed write. It returns the error if the node must end.
func (n *Node) suspend(err error) error {
	if n.opt.Reopen == nil || !fail.Is(err, fail.StorageFailed) {
		return err
	}
	request, members := n.core.StepDown(), n.core.Members()
	now := n.opt.Now()
	n.outage = &outage{since: now, loggedAt: now, retryAt: now + storageRetryInterval, status: n.coreStatus()}
	n.outage.status.StorageFailing = true
	n.storageFailing.Store(true)
	if request != nil {
		n.opt.Sender.Send([]*wire.RaftMessage{request}, members)
	}
	n.failAllPending()
	n.storageErr = nil
	n.opt.Log.WithError(err).WithField("leadership_offered", request != nil).Error("a write to the data folder failed; the replica takes no part in the group until its disk takes writes")
	return nil
}

// resume ends the outage if the storage can be opened again. It returns an error if the
// node must end.
func (n *Node) resume() error {
	now := n.opt.Now()
	if now < n.outage.retryAt {
		return nil
	}
	r, err := n.opt.Reopen()
	after := n.opt.Now()
	if fail.Is(err, fail.StorageFailed) {
		n.outage.retryAt = after + storageRetryInterval
		if after-n.outage.loggedAt >= storageLogInterval {
			n.outage.loggedAt = after
			n.opt.Log.WithError(err).WithField("for_ms", (after - n.outage.since).Milliseconds()).Error("the data folder still refuses writes")
		}
		return nil
	}
	if err != nil {
		return err
	}
	// What was applied here is committed and stored. It is applied again before any call sees
	// the state machine.
	if err := n.restore(r, n.core.Applied()); err != nil {
		return err
	}
	if n.transferring {
		n.core.SetStopping()
	}
	since := n.outage.since
	n.outage = nil
	n.storageFailing.Store(false)
	n.opt.Log.WithFields(logrus.Fields{
		"for_ms": (after - since).Milliseconds(), "cut_bytes": r.TruncatedBytes, "entries": len(r.Entries), "term": n.core.Term(),
	}).Info("the data folder takes writes again; the replica rejoins its group")
	return nil
}

// hear records the leader that sends the messages, so that callers can be sent to it.
func (o *outage) hear(messages []*wire.RaftMessage) {
	for _, m := range messages {
		fromLeader := m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND || m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT
		if fromLeader && m.Term >= o.status.Term {
			o.status.Term, o.status.Leader = m.Term, m.From
		}
	}
}

// StorageFailing reports whether the storage refuses writes, so that the replica takes no part
// in its group.
func (n *Node) StorageFailing() bool { return n.storageFailing.Load() }

// OpenJournal opens the journal in the folder. While the disk is full, or refuses writes for
// another reason that may pass, it tries again until ctx ends. Other errors, such as a
// folder that another process uses, are returned at once.
func OpenJournal(ctx context.Context, dir string, newID func() uint64, log *logrus.Entry) (*journal.Journal, *journal.Recovered, error) {
	var logged time.Time
	for {
		j, r, err := journal.Open(dir, newID)
		if err == nil || !mayPass(err) {
			return j, r, err
		}
		if time.Since(logged) >= storageLogInterval {
			logged = time.Now()
			log.WithError(err).Error("the data folder refuses writes; waiting")
		}
		if !wait.For(ctx, storageRetryInterval) {
			return nil, nil, err
		}
	}
}

// mayPass reports whether a disk that refused a write with the error may take one later.
func mayPass(err error) bool {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
