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

// releaseTimeout bounds the last message to control at a shutdown.
const releaseTimeout = 2 * time.Second

// served is a catalog with the time until which the entry may serve by it.
type leasedCatalog struct {
	catalog *catalog
	until   time.Duration
}

// session keeps the entry's lease with the control leader and its view.
type session struct {
	cfg     Settings
	control *controlclient.Client
	log     *logrus.Entry
	clock   func() time.Duration
	// holder is touched only by the goroutine of run.
	holder  lease.Holder
	leased  atomic.Pointer[leasedCatalog]
	entryVM func() *wire.EntryVM
	// report fills in what the entry knows of its endpoints.
	report func(*wire.HeartbeatRequest)
	// onDeferred takes overnight work that this entry is to run.
	onDeferred func([]*wire.DeferredRequest)
	// wake asks for a heartbeat at once.
	trigger chan struct{}
}

// catalog returns the view to serve by, and a refusal where the lease is over.
func (s *session) catalog() (*catalog, error) {
	leased := s.leased.Load()
	if leased == nil || s.clock() >= leased.until {
		return nil, fail.New(fail.NoLease, "this entry has no confirmed configuration; use another entry").WithRetryAfter(s.cfg.Heartbeat.D())
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

// heartbeat renews the lease, counted from before the request was sent, so
// that it ends here no later than the leader assumes. Every attempt says anew
// what the entry serves by and runs.
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
			s.log.WithError(err).Warn("no heartbeat answer from the control leader")
		}
		return
	}
	s.applyResponse(sent, resp)
}

// request reads the revision before the report: what the report leaves out
// started later, by this revision or a newer one.
func (s *session) newHeartbeatRequest() *wire.HeartbeatRequest {
	req := &wire.HeartbeatRequest{Entry: s.entryVM(), ViewRevision: s.holder.Revision()}
	s.report(req)
	return req
}

// accept takes a confirmed view. An older one than the one served is never
// taken, from whichever leader it comes.
func (s *session) applyResponse(sent time.Duration, resp *wire.HeartbeatResponse) {
	outcome := s.holder.Accept(sent, resp)
	if outcome == lease.Refused {
		s.log.WithField("revision", resp.View.GetRevision()).Warn("older configuration refused")
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

// release ends the lease and tells control, which then need not wait for its
// end. It is called once run has returned.
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
		s.log.WithError(err).Warn("lease not released; it runs out")
	}
}

// poke asks for a heartbeat at once, which acknowledges the new view.
func (s *session) triggerHeartbeat() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}
