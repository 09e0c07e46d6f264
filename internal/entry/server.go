// Package entry implements parsleyramp-entry. It serves client requests over HTTP,
// selects endpoints, and admits and runs requests on the endpoints whose ownership
// the control plane has assigned to it.
package entry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/buffers"
	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/program"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// maxIdleConnsPerEndpoint bounds the idle connections to one endpoint.
	maxIdleConnsPerEndpoint = 64
	drainPollInterval       = 20 * time.Millisecond
	// handoverTimeout bounds the wait for new owners during a shutdown.
	handoverTimeout = 10 * time.Second
	// answerTimeout bounds the time in which requests that a shutdown ends are
	// answered. It exceeds recordTimeout, for which an answer may be delayed, and the
	// 5 to 6 s after which net/http closes a new connection without a request.
	answerTimeout = 8 * time.Second
	// stopReserve is the part of the shutdown time that is left for these answers,
	// the release of the lease and the exit of the process.
	stopReserve = answerTimeout + releaseTimeout + 2*time.Second
)

// errStopping is the cause with which a shutdown ends requests.
var errStopping = fail.New(fail.Draining, "this entry is stopping; use another entry").WithRetryAfter(defaultRetryAfter)

// Server is one entry process.
type Server struct {
	cfg         Settings
	log         *logrus.Entry
	incarnation string
	// answers bounds the responses that are collected before they are sent to clients.
	answers      *buffers.Budget
	session      *session
	owner        *owner
	dispatcher   *dispatcher
	control      *controlclient.Client
	clientServer *transport.ClientFacingServer
	peerServer   *transport.Server
	draining     atomic.Bool
	// admitUntil is when the last request of a client may arrive that a shutdown leaves the time
	// to end; nil for any time.
	admitUntil atomic.Pointer[time.Time]
	inFlight   atomic.Int64
	// runningDeferred holds the keys of the deferred requests that run here.
	runningDeferred sync.Map
	// serving is the context of the requests of clients and other entries.
	// endRequests ends it with errStopping.
	serving     context.Context
	endRequests context.CancelCauseFunc
	// background is the context of the heartbeats and the deferred requests.
	background context.Context
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// Start listens on the configured addresses and begins to request a lease from the
// control plane. The entry serves requests once it holds a lease.
func Start(cfg Settings, seed uint64, log *logrus.Entry) (*Server, error) {
	program.LimitMemory(cfg.MemoryMB)
	start := time.Now()
	background, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg, log: log, incarnation: uuid.NewString(),
		control:    controlclient.New(transport.NewPeerClient(), cfg.Control),
		background: background, stop: stop, answers: buffers.NewBudget(maxAllAnswerBytes),
	}
	s.serving, s.endRequests = context.WithCancelCause(context.Background())
	s.session = &session{
		cfg: cfg, control: s.control, log: log, clock: func() time.Duration { return time.Since(start) },
		entryVM: s.entryVM, trigger: make(chan struct{}, 1), onDeferred: s.startDeferred,
	}
	reporter := controlReporter{s.control}
	s.owner = newOwner(s.session, endpoint.NewHTTP(transport.NewEndpointClient(maxIdleConnsPerEndpoint)), reporter, cfg.ServiceSlots)
	s.session.report = s.fillReport
	s.dispatcher = newDispatcher(s.session, s.owner, newPeers(transport.NewPeerClient()), reporter, seed)
	if err := s.listen(); err != nil {
		stop()
		return nil, err
	}
	s.done.Go(func() { s.session.run(background) })
	log.WithFields(logrus.Fields{"caller_address": cfg.CallerAddress, "peer_address": cfg.PeerAddress}).Info("entry started")
	return s, nil
}

func (s *Server) listen() error {
	limits := transport.NewClientLimits(s.cfg.ClientLimits.Config(s.cfg.MemoryMB), s.log)
	clientListener, err := limits.Listen(s.cfg.CallerAddress, "caller", transport.PeerKindClient)
	if err != nil {
		return err
	}
	peerListener, err := limits.Listen(s.cfg.PeerAddress, "peer", transport.PeerKindSystem)
	if err != nil {
		clientListener.Close()
		return err
	}
	s.clientServer = transport.ServeClients(clientListener, s.clientMux())
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewEntryServiceHandler(&peerService{s.owner, s.serving}, transport.PeerHandlerOptions()...))
	s.peerServer = transport.Serve(peerListener, transport.RefuseCompressed(mux))
	return nil
}

// entryVM returns the description of this entry that heartbeats contain.
func (s *Server) entryVM() *wire.EntryVM {
	return &wire.EntryVM{
		Id: s.cfg.ID, CallerAddress: s.cfg.CallerAddress, PeerAddress: s.cfg.PeerAddress, Domain: s.cfg.Domain,
		Incarnation: s.incarnation, Draining: s.draining.Load(),
	}
}

func (s *Server) fillReport(req *wire.HeartbeatRequest) {
	s.owner.report(req)
	s.runningDeferred.Range(func(key, _ any) bool {
		req.KnownDeferred = append(req.KnownDeferred, key.(string))
		return true
	})
}

// Shutdown drains and stops the entry. The entry is no longer listed for clients,
// serves for as long as clients may cache its address, waits for the handover of
// its endpoints and for requests in flight, and then closes. It refuses requests that
// arrive too late to end in time, and ends requests that
// are still in flight stopReserve before the deadline of ctx, so that each is
// answered before its connection closes.
func (s *Server) Shutdown(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		until := deadline.Add(-stopReserve - s.requestLimit())
		s.admitUntil.Store(&until)
	}
	s.draining.Store(true)
	s.clientServer.Drain()
	s.session.triggerHeartbeat()
	s.log.Info("draining")
	err := s.drain(ctx)
	if closeErr := s.closeServers(ctx); err == nil {
		err = closeErr
	}
	s.stop()
	s.done.Wait()
	s.session.release(context.WithoutCancel(ctx))
	s.log.Info("stopped")
	return err
}

// drain waits until no request is in flight. It returns an error if some still are
// stopReserve before the deadline of ctx.
func (s *Server) drain(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-stopReserve))
		defer cancel()
	}
	wait.For(ctx, s.cfg.KeepAddresses.D())
	s.awaitHandover(ctx)
	for s.inFlight.Load() > 0 || s.owner.busy() || s.isRunningDeferred() {
		if !wait.For(ctx, drainPollInterval) {
			return fail.Wrap(ctx.Err(), fail.DeadlinePassed, "requests were still in flight at the end of the shutdown time")
		}
	}
	return nil
}

// closeServers ends the requests in flight, and closes the connections once these
// are answered.
func (s *Server) closeServers(ctx context.Context) error {
	s.endRequests(errStopping)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer cancel()
	var peerErr error
	var peers sync.WaitGroup
	peers.Go(func() { peerErr = s.peerServer.Shutdown(ctx) })
	err := s.clientServer.Shutdown(ctx)
	peers.Wait()
	return cmp.Or(err, peerErr)
}

// endingWith returns a copy of ctx that also ends, with the same cause, when other
// ends.
func endingWith(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, endingKey{}, other))
	stop := context.AfterFunc(other, func() { cancel(context.Cause(other)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endingKey is the key of the context with which a copy of endingWith ends.
type endingKey struct{}

// ending reports whether the context with which ctx ends has ended. It holds for all
// requests at once: ctx itself ends a moment later, when others may have ended already
// and their slots have become free.
func ending(ctx context.Context) bool {
	other, ok := ctx.Value(endingKey{}).(context.Context)
	return ok && other.Err() != nil
}

// shutdownError returns the error of a request that a shutdown of this entry has
// ended, and err for every other request.
func shutdownError(ctx context.Context, err *fail.Error) *fail.Error {
	switch {
	case !errors.Is(context.Cause(ctx), errStopping):
		return err
	case err.Ran == fail.RanNo:
		return errStopping
	}
	return fail.Wrap(err, fail.TruncatedAnswer, "this entry stopped before the response was complete").WithRan(err.Ran)
}

// awaitHandover waits until other entries own the endpoints of this entry, so that
// requests are not sent to this entry and rejected. Without another entry or the
// control plane it stops waiting when the lease ends or after handoverTimeout.
func (s *Server) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c, err := s.session.catalog()
		if err != nil || !c.isOwner(s.cfg.ID) {
			return
		}
		wait.For(ctx, drainPollInterval)
	}
}

// isRunningDeferred reports whether deferred requests run here.
func (s *Server) isRunningDeferred() bool {
	running := false
	s.runningDeferred.Range(func(any, any) bool {
		running = true
		return false
	})
	return running
}
