package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/retry"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// memoryShare of the process's memory is what the collector aims at.
	memoryLimitRatio = 0.6
	// drainDelay is how long a stopping gateway still takes requests, for callers
	// keep its address a while.
	drainDelay = 1500 * time.Millisecond
	// stopReserve of the grace time is kept for the exit itself.
	stopReserve = 600 * time.Millisecond
	// controlTimeout bounds one call to a control replica, and controlRetry is
	// the pause before the next is asked.
	controlTimeout    = 500 * time.Millisecond
	controlRetryDelay = 30 * time.Millisecond
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
)

// Dependencies is what a gateway needs of the outside world's formats.
type Dependencies struct {
	Protocol Protocol
	// Pool holds the connections to endpoints, and Reserver takes places there.
	Pool     *upstream.Pool
	Reserver Reserver
	// Decode reads a whole document.
	Decode func(text []byte) (*document.Document, error)
	// Directory answers callers that ask which gateways to use, and Ready the
	// platform that asks whether this one takes callers.
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

	table    atomic.Pointer[document.Table]
	view     atomic.Pointer[fleet.View]
	changed  broadcast
	draining atomic.Bool

	loads         *fleet.Loads
	serviceTimes  *fleet.Paces
	waits         *fleet.Waits
	retries       *retry.Share
	demand        demand
	modelRequests modelRequests
	pool          *upstream.Pool
	control       *controlclient.Client
	servers       []*transport.Server
	clientServer  *transport.CallerServer
	cancel        context.CancelFunc
	// draw returns a number evenly from [0, 1).
	randFloat func() float64
}

// Start serves until Shutdown.
func Start(cfg Settings, deps Dependencies, log *logrus.Entry) (*Gateway, error) {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryLimitRatio * (1 << 20)))
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	g := &Gateway{
		cfg: cfg, deps: deps, log: log, clock: clock, incarnation: uuid.NewString(),
		loads: fleet.NewLoads(rand.IntN), serviceTimes: fleet.NewPaces(), waits: fleet.NewWaits(), pool: deps.Pool, randFloat: rand.Float64,
		retries: retry.NewShare(cfg.retryConfig(), 0),
		control: controlclient.New(transport.NewPeerClient(), cfg.controlAddresses()),
	}
	g.control.Hurry(controlTimeout, controlRetryDelay)
	g.changed.init()
	if err := g.listen(); err != nil {
		g.closeAll()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.syncLoop(ctx)
	go g.sweep(ctx)
	log.WithFields(logrus.Fields{"address": cfg.CallerAddress, "incarnation": g.incarnation}).Info("gateway started")
	return g, nil
}

func (g *Gateway) listen() error {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", telemetry.MetricsHandler(g.collectMetrics))
	if err := g.startServer(g.cfg.MetricsAddress, metrics); err != nil {
		return err
	}
	if err := g.startServer(g.cfg.ReadyAddress, g.deps.Ready(g)); err != nil {
		return err
	}
	if g.cfg.DirectoryAddress != "" {
		if err := g.startServer(g.cfg.DirectoryAddress, g.deps.Directory(g)); err != nil {
			return err
		}
	}
	l, err := transport.ListenCallers(g.cfg.CallerAddress)
	if err != nil {
		return err
	}
	g.clientServer = transport.ServeCallers(l, g)
	g.servers = append(g.servers, g.clientServer.Server)
	return nil
}

// Reload takes over settings that may change while the gateway runs: where
// control is and the terms of the retry budget.
func (g *Gateway) Reload(cfg Settings) {
	g.control.Learn(cfg.controlAddresses())
	g.retries.SetTerms(cfg.retryConfig())
}

// Accepting reports whether callers may use this gateway.
func (g *Gateway) Accepting() bool {
	return g.table.Load() != nil && g.view.Load() != nil && !g.draining.Load()
}

// Addresses returns the gateways that a caller in the domain may use, those of
// its own domain first, and how long it may keep them.
func (g *Gateway) Addresses(domain string) ([]string, time.Duration) {
	return pickAddresses(g.knownGateways(), domain), g.cfg.KeepAddresses.D()
}

// self is what the gateway says of itself.
func (g *Gateway) self() *wire.Gateway {
	return &wire.Gateway{
		Id: g.cfg.ID, Domain: g.cfg.Domain, Region: g.cfg.Region, CallerAddress: g.cfg.CallerAddress,
		Accepting: g.Accepting(), Incarnation: g.incarnation,
	}
}

// knownGateways returns what control said last of the others, and what this
// gateway knows of itself.
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

// minAddresses is how many gateways a caller is told at least, where there are
// as many, so that it can turn to another one.
const minAddresses = 2

// pickAddresses returns the accepting gateways of the domain, and others where
// those are few.
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

// serve starts one server of the gateway.
func (g *Gateway) startServer(address string, h http.Handler) error {
	l, err := transport.Listen(address)
	if err != nil {
		return err
	}
	g.servers = append(g.servers, transport.Serve(l, h))
	return nil
}

// Shutdown takes the gateway out of use, finishes the requests in progress and
// stops. It cuts off what lasts beyond the grace time.
func (g *Gateway) Shutdown(ctx context.Context) error {
	started := time.Now()
	g.draining.Store(true)
	g.log.Info("draining")
	g.clientServer.Drain()
	wait.For(ctx, drainDelay)
	g.clientServer.CloseIdle()
	left := g.cfg.Grace.D() - stopReserve - time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := g.clientServer.Shutdown(ctx)
	if err != nil {
		g.log.WithError(err).Warn("requests cut off at the end of the grace time")
	}
	g.cancel()
	g.closeAll()
	g.log.Info("stopped")
	return nil
}

func (g *Gateway) closeAll() {
	for _, s := range g.servers {
		// What is still open at this point is cut off on purpose.
		_ = s.Close()
	}
}

// sweep closes idle connections to endpoints that are gone.
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
	}
}

// broadcast wakes all that wait for a change.
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
