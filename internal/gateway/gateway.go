package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/boottime"
	"parsleyramp/internal/buffers"
	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/program"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/retry"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// controlTimeout bounds one call to a control replica, and controlRetryDelay
	// is the pause before the next replica is called.
	controlTimeout    = 500 * time.Millisecond
	controlRetryDelay = 30 * time.Millisecond
	// sweepInterval is the time between two checks of the idle connections.
	sweepInterval = time.Second
)

// Dependencies connect a gateway to the platform and its formats.
type Dependencies struct {
	Protocol Protocol
	// Pool holds the connections to endpoints, and Reserver reserves slots there.
	Pool     *upstream.Pool
	Reserver Reserver
	// Decode decodes a fleet document.
	Decode func(text []byte) (*document.Document, error)
	// Directory returns the handler that tells clients which gateways to use, and
	// Ready the one that tells the platform whether this gateway accepts requests.
	Directory func(g *Gateway) http.Handler
	Ready     func(g *Gateway) http.Handler
}

// Gateway is one gateway process.
type Gateway struct {
	cfg         Settings
	deps        Dependencies
	log         *logrus.Entry
	clock       func() time.Duration
	incarnation string

	// documentMu serializes changes of table.
	documentMu sync.Mutex
	table      atomic.Pointer[document.Table]
	view       atomic.Pointer[fleet.View]
	// fingerprintKey is nil until the first exchange with the control plane.
	fingerprintKey atomic.Pointer[quarantine.Key]

	// bootClock counts suspension, unlike clock. confirmedAt is when the leader was last
	// asked that knew no newer document.
	bootClock   func() time.Duration
	confirmedAt atomic.Int64
	// viewConfirmedAt is when the leader was last asked that knew no newer view.
	viewConfirmedAt atomic.Int64

	changed  broadcast
	draining atomic.Bool
	// drain is nil before a shutdown.
	drain atomic.Pointer[drainTimes]

	loads         *fleet.Loads
	serviceTimes  *fleet.ServiceTimes
	waits         *fleet.WaitHistory
	retries       *retry.GatewayBudget
	demand        demand
	use           workspaceUse
	excess        workspaceExcess
	slots         slotQueue
	modelRequests modelRequests
	workspaces    workspaceCounts
	inFlight      requestsInFlight
	suspects      suspects
	limits        limits
	origins       streamOrigins
	reach         reach
	relays        relayPeers
	peers         peerClients
	buffers       *buffers.Budget
	streams       streamWriters
	quotas        quotas
	pool          *upstream.Pool
	control       *controlclient.Client
	leaderHint    leaderHint
	fetches       documentFetches
	servers       []io.Closer
	// clientLimits bounds what clients take, at all addresses.
	clientLimits *transport.ClientLimits
	clientServer *transport.ClientFacingServer
	// peerServer serves the other gateways; nil if there is no address for it.
	peerServer *transport.ClientFacingServer
	cancel     context.CancelFunc
	// randFloat returns a uniformly distributed number in [0, 1).
	randFloat func() float64
}

// Start starts a gateway, which serves until Shutdown.
func Start(cfg Settings, deps Dependencies, log *logrus.Entry) (*Gateway, error) {
	program.LimitMemory(cfg.MemoryMB)
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	g := &Gateway{
		cfg: cfg, deps: deps, log: log, clock: clock, bootClock: boottime.NewClock(), incarnation: uuid.NewString(),
		loads: fleet.NewLoads(rand.IntN), serviceTimes: fleet.NewServiceTimes(), waits: fleet.NewWaitHistory(), pool: deps.Pool, randFloat: rand.Float64,
		retries:      retry.NewGatewayBudget(cfg.retryConfig(), 0),
		control:      controlclient.New(transport.NewPeerClient(), cfg.controlAddresses()),
		clientLimits: transport.NewClientLimits(cfg.ClientLimits.Config(cfg.MemoryMB), log),
	}
	g.control.SetTimeouts(controlTimeout, controlRetryDelay)
	g.changed.init()
	g.streams.init(clock, log)
	g.buffers = buffers.NewBudget(maxAllBufferedBytes)
	g.quotas.init(cfg.ID, g.incarnation, boottime.NewClock())
	g.loads.OnRoom(g.roomAppeared)
	if err := g.listen(); err != nil {
		g.closeAll()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.followControl(ctx)
	go g.sweep(ctx)
	go g.watchReach(ctx)
	log.WithFields(logrus.Fields{"address": cfg.CallerAddress, "incarnation": g.incarnation}).Info("gateway started")
	return g, nil
}

func (g *Gateway) listen() error {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", telemetry.MetricsHandler(g.collectMetrics))
	if err := g.startServer(g.cfg.MetricsAddress, "metrics", metrics); err != nil {
		return err
	}
	if err := g.startServer(g.cfg.ReadyAddress, "ready", g.deps.Ready(g)); err != nil {
		return err
	}
	if g.cfg.PeerAddress != "" {
		l, err := g.clientLimits.Listen(g.cfg.PeerAddress, "peer", transport.PeerKindSystem)
		if err != nil {
			return err
		}
		g.peerServer = transport.ServeClients(l, g.peerHandler())
		g.servers = append(g.servers, g.peerServer)
	}
	if g.cfg.DirectoryAddress != "" {
		if err := g.startServer(g.cfg.DirectoryAddress, "directory", g.deps.Directory(g)); err != nil {
			return err
		}
	}
	l, err := g.clientLimits.Listen(g.cfg.CallerAddress, "caller", transport.PeerKindClient)
	if err != nil {
		return err
	}
	g.clientServer = transport.ServeClients(l, g)
	g.servers = append(g.servers, g.clientServer)
	return nil
}

// Reload applies the settings that may change while the gateway runs: the
// addresses of the control plane and the retry budget.
func (g *Gateway) Reload(cfg Settings) {
	g.control.SetSeeds(cfg.controlAddresses())
	g.retries.SetConfig(cfg.retryConfig())
}

// Accepting reports whether this gateway accepts requests of clients.
func (g *Gateway) Accepting() bool {
	return g.table.Load() != nil && g.view.Load() != nil && !g.draining.Load()
}

// Addresses returns the addresses of the gateways that a client in the failure
// domain may use, those in its own domain first, and how long it may cache them.
func (g *Gateway) Addresses(domain string) ([]string, time.Duration) {
	return pickAddresses(g.knownGateways(), domain), g.cfg.KeepAddresses.D()
}

// self returns what the gateway reports of itself.
func (g *Gateway) self() *wire.Gateway {
	return &wire.Gateway{
		Id: g.cfg.ID, Domain: g.cfg.Domain, Region: g.cfg.Region, CallerAddress: g.cfg.CallerAddress,
		Accepting: g.Accepting(), Incarnation: g.incarnation, PeerAddress: g.cfg.PeerAddress,
		OutOfReach: g.unreachedServices(),
	}
}

// knownGateways returns this gateway and the other gateways of the current view.
func (g *Gateway) knownGateways() []*wire.Gateway {
	self := g.self()
	out := []*wire.Gateway{self}
	if v := g.view.Load(); v != nil {
		for _, other := range v.Gateways {
			if other.Id != self.Id {
				out = append(out, other)
			}
		}
	}
	return out
}

// minAddresses is the least number of addresses that a client receives, if there
// are as many gateways, so that it can retry at another gateway.
const minAddresses = 2

// pickAddresses returns the accepting gateways of the domain, and those of other
// domains if there are fewer than minAddresses.
func pickAddresses(gateways []*wire.Gateway, domain string) []string {
	var own, others []string
	for _, gw := range gateways {
		switch {
		case !gw.Accepting:
		case gw.Domain == domain:
			own = append(own, gw.CallerAddress)
		default:
			others = append(others, gw.CallerAddress)
		}
	}
	if len(own) >= minAddresses {
		return own
	}
	return append(own, others...)
}

// startServer starts one server of the gateway, whose address has a name.
func (g *Gateway) startServer(address, name string, h http.Handler) error {
	l, err := g.clientLimits.Listen(address, name, transport.PeerKindSystem)
	if err != nil {
		return err
	}
	g.servers = append(g.servers, transport.ServeProbes(l, h))
	return nil
}

func (g *Gateway) closeAll() {
	for _, s := range g.servers {
		// Connections that are still open are closed on purpose.
		_ = s.Close()
	}
}

// sweep closes idle connections to endpoints that are no longer in the view, and
// those that exceeded their idle timeout, until ctx ends.
func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		v := g.view.Load()
		if v == nil {
			continue
		}
		addresses := map[string]bool{}
		for _, e := range v.Endpoints {
			addresses[e.Address] = true
		}
		g.pool.Retain(addresses)
		g.relays.retain(v)
		g.limits.retain(v)
	}
}

// broadcast notifies all goroutines that wait for a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) init() { b.ch = make(chan struct{}) }

// wait returns a channel that is closed at the next change.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
