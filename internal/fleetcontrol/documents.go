package fleetcontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/state"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
)

var _ DocumentStore = (*Server)(nil)

// Put checks and commits a whole document.
func (s *Server) Put(ctx context.Context, text []byte) error {
	d, err := s.deps.Decode(text)
	if err != nil {
		s.log.WithError(err).Info("document refused")
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CommitTimeout.D())
	defer cancel()
	_, err = s.node.Propose(ctx, &wire.Command{
		ProposedUnixMs: time.Now().UnixMilli(),
		Body:           &wire.Command_PutDocument{PutDocument: &wire.PutDocument{Document: &wire.Document{Version: d.Version, Text: text}}},
	})
	if err != nil {
		s.log.WithError(err).WithField("version", d.Version).Warn("document not committed")
		return err
	}
	s.log.WithFields(logrus.Fields{"version": d.Version, "routes": len(d.Routes)}).Info("document accepted")
	return nil
}

// Newest confirms that this replica still leads by a commit, and returns the
// document as of then.
func (s *Server) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CommitTimeout.D())
	defer cancel()
	if _, err := s.node.Propose(ctx, &wire.Command{Body: &wire.Command_ConfirmLead{ConfirmLead: &wire.ConfirmLead{}}}); err != nil {
		return nil, err
	}
	var text []byte
	err := s.node.Peek(ctx, func(m *state.Machine) { text = m.Document().GetText() })
	if err != nil {
		return nil, err
	}
	if text == nil {
		return nil, fail.New(fail.Unavailable, "no document has been accepted yet")
	}
	return text, nil
}

// LeaderAddress returns where operators reach the leader. Every replica
// answers operators on the same port.
func (s *Server) LeaderAddress(ctx context.Context) string {
	status, err := s.node.Status(ctx)
	if err != nil || status.Leading || status.LeaderAddress() == "" {
		return ""
	}
	return transport.SamePort(status.LeaderAddress(), s.cfg.OperatorAddress)
}
