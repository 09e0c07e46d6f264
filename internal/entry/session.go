package entry

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/lease"
	"parsleyramp/internal/wire"
)

// releaseTimeout bounds the release of the lease at shutdown.
const releaseTimeout = 2 * time.Second

// leasedCatalog is a catalog with the time until which the entry may use it.
type leasedCatalog struct {
	catalog *catalog
	until   time.Duration
}

// session maintains the entry's lease with the control leader, and its view.
type session struct {
	cfg     Settings
	control *controlclient.Client
	log     *logrus.Entry
	clock   func() time.Duration
	// holder is accessed only by the goroutine of run, and by release after that.
	holder  lease.Holder
	leased  atomic.Pointer[leasedCatalog]
	entryVM func() *wire.EntryVM
	// report adds the state of the entry's endpoints and deferred requests.
	report func(*wire.HeartbeatRequest)
	// onDeferred receives the deferred requests assigned to this entry.
	onDeferred func([]*wire.DeferredRequest)
	// trigger requests a heartbeat without waiting for the interval.
	trigger chan struct{}
}

// catalog returns the current catalog, or an error if the entry holds no lease.
func (s *session) catalog() (*catalog, error) {
	leased := s.leased.Load()
	if leased == nil || s.clock() >= leased.until {
		return nil, fail.New(fail.NoLease, "this entry holds no lease from the control plane; use another entry").WithRetryAfter(s.cfg.Heartbeat.D())
	}
	return leased.catalog, nil
}

// run sends heartbeats until ctx ends.
func (s *session) run(ctx context.Context) {
	tick := time.NewTicker(s.cfg.Heartbeat.D())
	defer tick.Stop()
	for {
		s.heartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.trigger:
		}
	}
}

// heartbeat renews the lease. The lease counts from before the request was sent,
// so that it ends here no later than the leader assumes. Every attempt builds a
// new request with the current view revision and report.
func (s *session) heartbeat(ctx context.Context) {
	var sent time.Duration
	var resp *wire.HeartbeatResponse
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		req := s.newHeartbeatRequest()
		sent = s.clock()
		r, err := c.Control.Heartbeat(ctx, connect.NewRequest(req))
		if err == nil {
			resp = r.Msg
		}
		return err
	})
	if err != nil {
		if ctx.Err() == nil {
			s.log.WithError(err).Warn("heartbeat to the control leader failed")
		}
		return
	}
	s.applyResponse(sent, resp)
}

// newHeartbeatRequest reads the revision before the report: an attempt that is
// missing from the report started later, based on this revision or a newer one.
func (s *session) newHeartbeatRequest() *wire.HeartbeatRequest {
	req := &wire.HeartbeatRequest{Entry: s.entryVM(), ViewRevision: s.holder.Revision()}
	s.report(req)
	return req
}

// applyResponse applies the lease and the view of a heartbeat response. A view
// older than the current one is always rejected, whichever leader sent it.
func (s *session) applyResponse(sent time.Duration, resp *wire.HeartbeatResponse) {
	outcome := s.holder.Apply(sent, resp)
	if outcome == lease.Rejected {
		s.log.WithField("revision", resp.View.GetRevision()).Warn("heartbeat response rejected: its view does not follow the current one")
		return
	}
	next := &leasedCatalog{until: s.holder.Until()}
	if outcome == lease.Changed {
		next.catalog = newCatalog(s.holder.View())
	} else {
		next.catalog = s.leased.Load().catalog
	}
	s.leased.Store(next)
	if outcome == lease.Changed {
		s.triggerHeartbeat()
	}
	s.onDeferred(resp.Deferred)
}

// release ends the lease and notifies the control plane, which then need not wait
// for its expiry. It is called after run has returned.
func (s *session) release(ctx context.Context) {
	s.leased.Store(nil)
	s.holder.Release()
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		_, err := c.Control.Heartbeat(ctx, connect.NewRequest(&wire.HeartbeatRequest{Entry: s.entryVM(), Released: true}))
		return err
	})
	if err != nil {
		s.log.WithError(err).Warn("lease not released; it will expire")
	}
}

// triggerHeartbeat requests a heartbeat without waiting for the interval, for
// instance to acknowledge a new view.
func (s *session) triggerHeartbeat() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}
