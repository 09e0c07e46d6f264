package replica

import (
	"context"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// ProposeInTerm is Propose for a command that was decided in the given term. The
// command is not proposed if the term of the replica has changed since.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, c *wire.Command) (*wire.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "encode command")
	}
	return n.propose(ctx, func() (uint64, error) {
		if n.core.Term() != term {
			return 0, fail.New(fail.NotLeader, "the term in which the command was decided has ended")
		}
		return n.core.Propose(data)
	})
}
