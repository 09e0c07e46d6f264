// Package control implements a control replica, the server of
// parsleyramp-control: the replicated state, the services for entries and
// operators, and the leader's tasks towards engines, entries and the platform.
package control

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/livelist"
	"parsleyramp/internal/placement"
	"parsleyramp/internal/program"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// maxIdleConnsPerEngine bounds the idle connections to one engine.
const maxIdleConnsPerEngine = 4

// Server is one control replica.
type Server struct {
	cfg     Settings
	log     *logrus.Entry
	node    *replica.Node
	sender  *replica.NetworkSender
	journal *journal.Journal
	group   *replica.Group
	engines endpoint.Engine
	list    livelist.LiveList
	leases  leaseTable
	orders  *orderSender
	probes  probeSchedule
	health  *placement.HealthTable
	planner plannerState
	clock   func() time.Duration
	http    *transport.Server
	// stopped is closed when the node has ended with nodeErr.
	stopped chan struct{}
	nodeErr error
}

// Start opens the data folder, once its disk takes writes, and starts a control replica. The node and the
// leader loop run until ctx ends; Shutdown also stops the HTTP server.
func Start(ctx context.Context, cfg Settings, seed uint64, log *logrus.Entry) (*Server, error) {
	program.LimitMemory(cfg.MemoryMB)
	j, recovered, err := replica.OpenJournal(ctx, cfg.DataFolder, func() uint64 { return newReplicaID(seed) }, log)
	if err != nil {
		return nil, err
	}
	identity := recovered.Identity
	start := time.Now()
	s := &Server{
		cfg:     cfg,
		log:     log,
		journal: j,
		engines: endpoint.NewHTTP(transport.NewEndpointClient(maxIdleConnsPerEngine)),
		list:    &livelist.HTTPLiveList{Client: transport.NewEndpointClient(1), Address: cfg.LiveList},
		clock:   func() time.Duration { return time.Since(start) },
		stopped: make(chan struct{}),
	}
	s.group = replica.NewGroup(identity.Group, j.SetGroup)
	s.sender = replica.NewNetworkSender(ctx, transport.NewPeerClient(), cfg.Address, s.group.Name)
	s.node, err = replica.NewNode(replica.Options{
		Recovered: recovered, Storage: j, Reopen: j.Reopen, Sender: s.sender, Consensus: consensus.DefaultConfig(),
		SnapshotEntries: cfg.SnapshotEntries, Now: s.clock, Seed: seed, Log: log,
	})
	if err != nil {
		j.Close()
		return nil, err
	}
	s.sender.ReportLost(s.node.MarkLost)
	s.orders = newOrderSender(s)
	s.health = placement.NewHealthTable()
	limits := transport.NewClientLimits(cfg.ClientLimits.Config(cfg.MemoryMB), log)
	listener, err := limits.Listen(cfg.Address, "control", transport.PeerKindSystem)
	if err != nil {
		j.Close()
		return nil, err
	}
	s.http = transport.Serve(listener, transport.RefuseCompressed(s.handler()))
	go func() {
		s.nodeErr = s.node.Run(ctx)
		close(s.stopped)
	}()
	go s.runLeader(ctx)
	log.WithFields(logrus.Fields{"address": cfg.Address, "replica": identity.ID, "cut_bytes": recovered.TruncatedBytes, "entries": len(recovered.Entries)}).Info("control started")
	return s, nil
}

// Stopped returns a channel that is closed when the node ends. Shutdown then
// returns its error.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

// Shutdown transfers the leadership, completes the requests in flight, stops the
// node and closes the data folder. stopNode must cancel the context that was
// given to Start.
func (s *Server) Shutdown(ctx context.Context, stopNode context.CancelFunc) error {
	s.log.Info("draining")
	s.transferLeadership(ctx)
	err := s.http.Shutdown(ctx)
	stopNode()
	<-s.stopped
	closeErr := s.journal.Close()
	s.log.Info("stopped")
	return cmp.Or(s.nodeErr, err, closeErr)
}

// transferTimeout bounds the wait for the next leader at a planned stop.
const transferTimeout = 2 * time.Second

// transferLeadership transfers the leadership while this process still serves
// requests.
func (s *Server) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s.node.TransferLeadership(ctx)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	options := append(transport.PeerHandlerOptions(), connect.WithInterceptors(telemetry.Interceptor()))
	mux.Handle(wireconnect.NewReplicaServiceHandler(replica.NewService(s.node, s.group, s.sender), options...))
	mux.Handle(wireconnect.NewSenderServiceHandler(&senderService{s}, options...))
	mux.Handle(wireconnect.NewBootstrapServiceHandler(&bootstrapService{s}, options...))
	mux.Handle(wireconnect.NewControlServiceHandler(&entryService{s}, options...))
	mux.Handle(wireconnect.NewOperatorServiceHandler(&operatorService{s}, options...))
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.collectMetrics))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// propose commits a command, stamped with this process's wall clock.
func (s *Server) propose(ctx context.Context, c *wire.Command) (*wire.CommandResult, error) {
	ctx, span := telemetry.StartChild(ctx, "commit")
	defer span.End()
	c.ProposedUnixMs = time.Now().UnixMilli()
	return s.node.Propose(ctx, c)
}
