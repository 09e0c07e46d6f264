package fleetcontrol

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/boottime"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire/wireconnect"
)

// gcMemoryShare is the share of the process's memory that is set as the memory
// limit of the Go garbage collector.
const gcMemoryShare = 0.5

// Server is one control replica.
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
	news    *news
	// decoding is held while a document of an operator is decoded.
	decoding sync.Mutex
	// compressed is the newest document as gateways fetch it.
	compressed compressedDocument
	// seeds are the internal addresses of the seeds in the current settings.
	seeds atomic.Pointer[[]string]

	// leaving is true once this replica has begun to stop, so that it does not join again.
	leaving atomic.Bool
	// membershipMu serializes changes of the membership, each of which starts from the last one.
	membershipMu sync.Mutex
	intents      *orderIntents
	// leader is the state of this replica while it leads; nil otherwise.
	leader atomic.Pointer[leaderState]
	// viewRevision is the latest revision of the view that this process has
	// published. It outlives a leaderState, because the process may lead again in
	// the same term, and gateways apply only views that are newer than theirs.
	viewRevision atomic.Uint64
	// leads counts the times that this process has begun to lead.
	leads          atomic.Uint64
	internalServer *transport.Server
	operatorServer *transport.ClientFacingServer
	// stopped is closed when the node has ended with nodeErr.
	stopped chan struct{}
	nodeErr error
}

// Start opens the data folder, starts the replica and serves until ctx ends. While the disk
// refuses writes, it waits until it doesn't or ctx ends.
func Start(ctx context.Context, cfg Settings, deps Dependencies, log *logrus.Entry) (*Server, error) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * gcMemoryShare * (1 << 20)))
	}
	j, recovered, err := replica.OpenJournal(ctx, cfg.DataFolder, func() uint64 { return newReplicaID(cfg) }, log)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, deps: deps, log: log, clock: boottime.NewClock(), journal: j,
		peers: transport.NewPeerClient(), intents: newOrderIntents(), news: newNews(), stopped: make(chan struct{}),
	}
	s.group = replica.NewGroup(recovered.Identity.Group, j.SetGroup)
	s.Reload(cfg)
	s.sender = replica.NewNetworkSender(ctx, s.peers, cfg.Address, s.group.Name)
	s.node, err = replica.NewNode(replica.Options{
		Recovered: recovered, Storage: j, Reopen: j.Reopen, Sender: s.sender, Consensus: cfg.consensusConfig(),
		SnapshotEntries: cfg.SnapshotEntries, Now: s.clock, Seed: rand.Uint64(), Log: log, OnChange: s.news.publish,
	})
	if err != nil {
		j.Close()
		return nil, err
	}
	s.sender.ReportLost(s.node.MarkLost)
	if err := s.listen(); err != nil {
		j.Close()
		return nil, err
	}
	go func() {
		s.nodeErr = s.node.Run(ctx)
		close(s.stopped)
	}()
	go s.joinGroup(ctx)
	go s.repairMembership(ctx)
	go s.pollIntents(ctx)
	go s.leaderLoop(ctx)
	log.WithFields(logrus.Fields{
		"address": cfg.Address, "replica": recovered.Identity.ID, "group": recovered.Identity.Group,
		"cut_bytes": recovered.TruncatedBytes, "entries": len(recovered.Entries),
	}).Info("control started")
	return s, nil
}

// Reload applies the settings that may change at run time: the seeds, which a
// replica outside the group asks to admit it.
func (s *Server) Reload(cfg Settings) {
	peers := cfg.seedPeers()
	s.seeds.Store(&peers)
}

// newReplicaID returns a unique replica id. At the first start a seed derives its
// id from its address, so that the seeds form the same group without
// communication. A replica whose data folder was emptied later gets a new random
// id.
func newReplicaID(cfg Settings) uint64 {
	if cfg.FirstStart && cfg.isSeed() {
		return seedID(cfg.Address)
	}
	return rand.Uint64() | 1
}

// seedID returns the replica id of the seed at the address. It is odd, because 0 means
// no replica.
func seedID(address string) uint64 { return xxhash.Sum64String("seed "+address) | 1 }

func (s *Server) listen() error {
	mux := http.NewServeMux()
	options := append(transport.PeerHandlerOptions(), connect.WithInterceptors(telemetry.Interceptor()))
	mux.Handle(wireconnect.NewReplicaServiceHandler(replica.NewService(s.node, s.group, s.sender), options...))
	mux.Handle(wireconnect.NewFleetServiceHandler(&fleetService{s}, append(options, connect.WithConditionalHandlerOptions(compression))...))
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.collectMetrics))
	limits := transport.NewClientLimits(s.cfg.ClientLimits.Config(s.cfg.MemoryMB), s.log)
	internalListener, err := limits.Listen(cmp.Or(s.cfg.ListenAddress, s.cfg.Address), "internal", transport.PeerKindSystem)
	if err != nil {
		return err
	}
	operatorListener, err := limits.Listen(s.cfg.OperatorAddress, "operator", transport.PeerKindSystem)
	if err != nil {
		internalListener.Close()
		return err
	}
	s.internalServer = transport.Serve(internalListener, transport.RefuseCompressed(mux))
	s.operatorServer = transport.ServeProbes(operatorListener, s.deps.OperatorHandler(s))
	return nil
}

// Stopped returns a channel that is closed when the consensus node ends. Shutdown
// then returns its error.
func (s *Server) Stopped() <-chan struct{} { return s.stopped }

const (
	// shutdownTimeout bounds the transfer of the leadership and the completion of
	// operator requests in flight at a planned shutdown.
	shutdownTimeout = 2 * time.Second
	// answerTimeout bounds the answers to operator requests that still wait for the
	// node when it is stopped.
	answerTimeout = 500 * time.Millisecond
)

// nodeStopTimeout bounds the wait for the consensus node at a shutdown. The node
// does not stop while the disk does not complete a write.
const nodeStopTimeout = time.Second

// errNodeBlocked means that the consensus node still uses the data folder.
var errNodeBlocked = fail.New(fail.StorageFailed, "a write to the data folder did not complete before the shutdown")

// Shutdown transfers the leadership, leaves the membership if the group can do without
// this replica, finishes the operator requests in flight,
// ends the consensus node by calling stopNode and closes the data folder. Requests
// that wait for the node when it ends fail, and are answered too. It takes at most
// shutdownTimeout, nodeStopTimeout and answerTimeout if the disk stalls, and up to
// leaveTimeout more if it doesn't.
func (s *Server) Shutdown(ctx context.Context, stopNode context.CancelFunc) error {
	s.log.WithField("reason", s.stopReason()).Info("draining")
	s.operatorServer.Drain()
	finishCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	s.node.TransferLeadership(finishCtx)
	if finishCtx.Err() == nil {
		s.leaveGroup(ctx)
	}
	err := s.operatorServer.Shutdown(finishCtx)
	stopNode()
	nodeErr := s.awaitNode()
	if err != nil {
		answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
		defer cancel()
		err = s.operatorServer.Shutdown(answerCtx)
	}
	// Gateways keep their connections open, so a graceful shutdown would wait for
	// them. They reconnect to another replica.
	_ = s.internalServer.Close()
	var closeErr error
	if !errors.Is(nodeErr, errNodeBlocked) {
		closeErr = s.journal.Close()
	}
	s.log.Info("stopped")
	return cmp.Or(nodeErr, err, closeErr)
}

// stopReason returns why this replica stops, for the log.
func (s *Server) stopReason() string {
	select {
	case <-s.stopped:
		return "the consensus node has ended"
	default:
		return "signal"
	}
}

// awaitNode waits for the consensus node to end and returns its error, or
// errNodeBlocked after nodeStopTimeout. The data folder must then stay open; the
// exit of the process unlocks it.
func (s *Server) awaitNode() error {
	select {
	case <-s.stopped:
		return s.nodeErr
	case <-time.After(nodeStopTimeout):
		return errNodeBlocked
	}
}
