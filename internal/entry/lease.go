package entry

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// served is a catalog with the time until which the entry may serve by it.
type served struct {
	catalog *catalog
	until   time.Duration
	// lease is how long it was granted for.
	lease time.Duration
}

// session keeps the entry's lease with the control leader and its view.
type session struct {
	cfg     Settings
	control *controlclient.Client
	log     *logrus.Entry
	clock   func() time.Duration
	served  atomic.Pointer[served]
	self    func() *wire.EntryVM
	// report fills in what the entry knows of its endpoints.
	report func(*wire.HeartbeatRequest)
	// onDeferred takes overnight work that this entry is to run.
	onDeferred func([]*wire.DeferredRequest)
	// wake asks for a heartbeat at once.
	wake chan struct{}
}

// catalog returns the view to serve by, and a refusal where the lease is over.
func (s *session) catalog() (*catalog, error) {
	v := s.served.Load()
	if v == nil || s.clock() >= v.until {
		return nil, fail.New(fail.NoLease, "this entry has no confirmed configuration; use another entry").WithRetryAfter(s.cfg.Heartbeat.D())
	}
	return v.catalog, nil
}

// leaseTime returns how long leases are granted for. An entry that still
// serves after that time has renewed its lease, and with it its view.
func (s *session) leaseTime() time.Duration {
	if v := s.served.Load(); v != nil {
		return v.lease
	}
	return 0
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
		case <-s.wake:
		}
	}
}

// heartbeat renews the lease, counted from before the request was sent, so
// that it ends here no later than the leader assumes.
func (s *session) heartbeat(ctx context.Context) {
	req := &wire.HeartbeatRequest{Entry: s.self()}
	if v := s.served.Load(); v != nil {
		req.ViewRevision = v.catalog.view.Revision
	}
	s.report(req)
	var sent time.Duration
	var resp *wire.HeartbeatResponse
	err := s.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
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
	s.accept(sent, resp)
}

// accept takes a confirmed view. An older one than the one served is never
// taken, from whichever leader it comes.
func (s *session) accept(sent time.Duration, resp *wire.HeartbeatResponse) {
	until := sent + time.Duration(resp.LeaseMs)*time.Millisecond
	old := s.served.Load()
	next := &served{until: until, lease: time.Duration(resp.LeaseMs) * time.Millisecond}
	switch {
	case resp.View != nil && (old == nil || resp.View.Revision >= old.catalog.view.Revision):
		next.catalog = newCatalog(resp.View)
	case resp.View != nil || old == nil:
		s.log.WithField("revision", resp.View.GetRevision()).Warn("older configuration refused")
		return
	default:
		next.catalog = old.catalog
	}
	s.served.Store(next)
	if resp.View != nil {
		s.poke()
	}
	s.onDeferred(resp.Deferred)
}

// poke asks for a heartbeat at once, which acknowledges the new view.
func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
