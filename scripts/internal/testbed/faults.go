package testbed

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
)

// Pause stops the node's process with SIGSTOP. Resume continues it.
func (n *Node) Pause() error { return n.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (n *Node) Resume() error { return n.Process.Signal(syscall.SIGCONT) }

// RestartControl starts a control process again with the same settings and waits
// until it listens.
func (b *Bed) RestartControl(ctx context.Context, n *Node) error {
	if err := b.startControl(n); err != nil {
		return err
	}
	return waitListening(ctx, n.Address)
}

// RestartEntry starts an entry process again and waits until it holds a lease.
func (b *Bed) RestartEntry(ctx context.Context, n *Node) error {
	if err := b.startEntry(n, nil); err != nil {
		return err
	}
	return b.waitReady(ctx, n.Address)
}

// WipeDisk deletes the data folder of a control node. The node must not run.
func (b *Bed) WipeDisk(n *Node) error { return os.RemoveAll(b.Path(n.ID)) }

// Member is a control replica as "parsleyctl members" lists it.
type Member struct {
	ID, Address string
	Leader      bool
}

// Members returns the replicas of the control group.
func (b *Bed) Members(ctx context.Context) ([]Member, error) {
	out, err := b.Ctl(ctx, "", "members")
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, line := range strings.Split(out, "\n") {
		f := strings.Fields(line)
		if len(f) == 0 {
			break
		}
		if f[0] != "REPLICA" && len(f) >= 4 {
			members = append(members, Member{ID: f[0], Address: f[1], Leader: f[3] == "leader"})
		}
	}
	return members, nil
}

// Leader returns the control node that is the leader.
func (b *Bed) Leader(ctx context.Context) (*Node, error) {
	members, err := b.Members(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		for _, n := range b.Controls {
			if m.Leader && n.Address == m.Address {
				return n, nil
			}
		}
	}
	return nil, fmt.Errorf("no control node is the leader: group has %d replicas", len(members))
}
