package fleetcontrol

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/boottime"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire/wireconnect"
)

// memoryShare of the process's memory is what the collector aims at.
const gcMemoryShare = 0.5

// Server is one control process.
type Server struct {
	cfg     Settings
	deps    Dependencies
	log     *logrus.Entry
	clock   func() time.Duration
	node    *replica.Node
	sender  *replica.NetworkSender
	journal *journal.Journal
	peers   *http.Client
	group   *replica.Group
	// seeds are the inner addresses of the seeds that the settings name now.
	seeds atomic.Pointer[[]string]

	intents *orderIntents
	// lead is what this replica knows while it leads; nil otherwise.
	leader atomic.Pointer[leaderState]
	// viewRevision is the revision of the newest view that this process has
	// published. It outlives a lead, for the process may lead again in the same
	// term, and gateways take only views that are newer than theirs.
	viewRevision   atomic.Uint64
	internalServer *transport.Server
	operatorServer *transport.Server
	stopped        chan error
}

// Start opens the data folder and serves until ctx ends.
func Start(ctx context.Context, cfg Settings, deps Dependencies, log *logrus.Entry) (*Server, error) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * gcMemoryShare * (1 << 20)))
	}
	j, recovered, err := journal.Open(cfg.DataFolder, func() uint64 { return newReplicaID(cfg) })
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, deps: deps, log: log, clock: boottime.Since(), journal: j,
		peers: transport.NewPeerClient(), intents: newOrderIntents(), stopped: make(chan error, 1),
	}
	s.group = replica.NewGroup(recovered.Identity.Group, j.SetGroup)
	s.Reload(cfg)
	s.sender = replica.NewNetworkSender(ctx, s.peers, cfg.Address, s.group.Name)
	s.node, err = replica.NewNode(replica.Options{
		Recovered: recovered, Storage: j, Sender: s.sender, Consensus: cfg.consensusConfig(),
		SnapshotEntries: cfg.SnapshotEntries, Now: s.clock, Seed: rand.Uint64(), Log: log,
	})
	if err != nil {
		j.Close()
		return nil, err
	}
	if err := s.listen(); err != nil {
		j.Close()
		return nil, err
	}
	go func() { s.stopped <- s.node.Run(ctx) }()
	go s.joinGroup(ctx)
	go s.repairMembership(ctx)
	go s.pollIntents(ctx)
	go s.leaderLoop(ctx)
	log.WithFields(logrus.Fields{
		"address": cfg.Address, "replica": recovered.Identity.ID, "group": recovered.Identity.Group,
		"cut_bytes": recovered.CutBytes, "entries": len(recovered.Entries),
	}).Info("control started")
	return s, nil
}

// Reload takes over settings that may change while control runs: the seeds, at
// which a replica outside the group asks to be let in.
func (s *Server) Reload(cfg Settings) {
	peers := cfg.seedPeers()
	s.seeds.Store(&peers)
}

// newReplicaID returns an id that no other replica has. At the first start a
// seed's id follows from its address, so that the seeds form the same group
// without talking to each other; a folder that was emptied later gets one that
// was never used.
func newReplicaID(cfg Settings) uint64 {
	if cfg.FirstStart && cfg.isSeed() {
		return seedID(cfg.Address)
	}
	return rand.Uint64() | 1
}

func seedID(address string) uint64 { return xxhash.Sum64String("seed "+address) | 1 }

func (s *Server) listen() error {
	mux := http.NewServeMux()
	options := append(transport.PeerHandlerOptions(), connect.WithInterceptors(telemetry.Interceptor()))
	mux.Handle(wireconnect.NewReplicaServiceHandler(replica.NewService(s.node, s.group, s.sender), options...))
	mux.Handle(wireconnect.NewFleetServiceHandler(&fleetService{s}, options...))
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.collectMetrics))
	internalListener, err := transport.Listen(cmp.Or(s.cfg.ListenAddress, s.cfg.Address))
	if err != nil {
		return err
	}
	operatorListener, err := transport.Listen(s.cfg.OperatorAddress)
	if err != nil {
		internalListener.Close()
		return err
	}
	s.internalServer = transport.Serve(internalListener, mux)
	s.operatorServer = transport.Serve(operatorListener, s.deps.OperatorHandler(s))
	return nil
}

// Stopped yields the node's result once it has ended.
func (s *Server) Stopped() <-chan error { return s.stopped }

// handOverTimeout bounds the search for the next leader at a planned stop.
const leadershipTransferTimeout = 2 * time.Second

// Shutdown passes on the leadership, finishes the requests in progress, ends
// the node by calling stopNode and closes the data folder.
func (s *Server) Shutdown(ctx context.Context, stopNode context.CancelFunc) error {
	s.log.Info("draining")
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	s.node.HandOver(ctx)
	err := s.operatorServer.Shutdown(ctx)
	stopNode()
	if nodeErr := <-s.stopped; nodeErr != nil {
		err = nodeErr
	}
	// Gateways keep their connections open; they turn to another replica.
	_ = s.internalServer.Close()
	if closeErr := s.journal.Close(); err == nil {
		err = closeErr
	}
	s.log.Info("stopped")
	return err
}
