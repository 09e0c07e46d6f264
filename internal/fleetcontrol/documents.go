package fleetcontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/state"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
)

var _ DocumentStore = (*Server)(nil)

// Put checks and commits a fleet document.
func (s *Server) Put(ctx context.Context, text []byte) error {
	d, err := s.decode(text)
	if err != nil {
		s.log.WithError(err).Info("invalid document rejected")
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
	s.log.WithFields(logrus.Fields{"version": d.Version, "routes": len(d.Routes), "workspaces": len(d.Workspaces)}).Info("document accepted")
	return nil
}

// decode decodes a document of an operator, one at a time, as a decoded document takes many times its bytes.
func (s *Server) decode(text []byte) (*document.Document, error) {
	s.decoding.Lock()
	defer s.decoding.Unlock()
	return s.deps.Decode(text)
}

// Newest commits a no-op to confirm that this replica still leads, and returns
// the document as of that commit.
func (s *Server) Newest(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CommitTimeout.D())
	defer cancel()
	if _, err := s.node.Propose(ctx, &wire.Command{Body: &wire.Command_ConfirmLead{ConfirmLead: &wire.ConfirmLead{}}}); err != nil {
		return nil, err
	}
	var text []byte
	err := s.node.ReadStale(ctx, func(m *state.Machine) { text = m.Document().GetText() })
	if err != nil {
		return nil, err
	}
	if text == nil {
		return nil, fail.New(fail.Unavailable, "no document has been accepted yet")
	}
	return text, nil
}

// LeaderAddress returns the operator address of the leader, or "" if this
// replica leads or knows no leader. All replicas use the same operator port.
func (s *Server) LeaderAddress(ctx context.Context) string {
	status, err := s.node.Status(ctx)
	if err != nil || status.Leading || status.LeaderAddress() == "" {
		return ""
	}
	return transport.WithPortOf(status.LeaderAddress(), s.cfg.OperatorAddress)
}
