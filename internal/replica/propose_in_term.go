package replica

import (
	"context"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// ProposeInTerm is Propose for a command that was decided in a term: where the
// replica has led again since, it is not proposed.
func (n *Node) ProposeInTerm(ctx context.Context, term uint64, c *wire.Command) (*wire.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "encode command")
	}
	return n.propose(ctx, func() (uint64, error) {
		if n.core.Term() != term {
			return 0, fail.New(fail.NotLeader, "the term in which the change was decided is over")
		}
		return n.core.Propose(data)
	})
}
