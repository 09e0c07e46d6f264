package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

// defaultSize is the size of a run unless a flag changes it: seven processes of the
// system and eight endpoints.
var defaultSize = sizes{controls: 3, gateways: 4, endpoints: 8, ledger: 2, grace: gracePeriod}

// gracePeriod is the grace period of the gateways unless a run has another one.
const gracePeriod = 4 * time.Second

// retryBudget is the budget that the gateways share.
var retryBudget = standin.RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// fleetLimits holds the limits of the model engines.
var fleetLimits = &standin.Limits{
	Slots: 12, WeightsMB: 200e3, AdapterSlots: 4, OrderLease: 3 * time.Second, Models: []standin.Model{
		{Name: "m0", WeightsMB: 65e3, AdapterMB: 60, Adapters: 6, LoadTime: 700 * time.Millisecond},
		{Name: "m1", WeightsMB: 65e3, AdapterMB: 60, LoadTime: 700 * time.Millisecond},
		{Name: "m2", WeightsMB: 70e3, AdapterMB: 60, Adapters: 3, LoadTime: 2 * time.Second},
		{Name: "m3", WeightsMB: 70e3, AdapterMB: 60, LoadTime: 700 * time.Millisecond},
		{Name: "m4", WeightsMB: 65e3, AdapterMB: 60, LoadTime: 700 * time.Millisecond},
		{Name: "m5", WeightsMB: 60e3, AdapterMB: 60, LoadTime: 700 * time.Millisecond},
	},
}

// system is one running system with the live list, the endpoints and the proxies.
type system struct {
	dir, bin string
	size     sizes
	checker  *standin.Checker
	// failClosed is set if gateways without contact to control refuse keys.
	failClosed bool
	liveList   *standin.LiveList
	controls   []*node
	gateways   []*node
	// endpoints holds the engines first, then the endpoints of the plain service.
	endpoints []*standin.Endpoint
	// links holds the proxies of the control replicas, then those of the endpoints.
	links   []*proxy
	stopped chan struct{}
}

// Ports of the processes. Each run has its own addresses.
const (
	internalPort = 7000
	operatorPort = 7001
	clientPort   = 7002
	readyPort    = 7003
	metricsPort  = 7004
	peerPort     = 7005
)

// address returns a loopback address of VM i of the run. kind distinguishes
// gateway VMs and the advertised and actual addresses of control VMs.
func address(run, kind, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+run, kind, i+1, port)
}

const (
	advertisedControl = iota
	actualControl
	gatewayVM
)

// endpointHost returns the loopback address of the endpoints of the run.
func endpointHost(run int) string { return fmt.Sprintf("127.%d.3.1", 10+run) }

// callerIP returns the loopback address of a caller.
func callerIP(i int) string { return fmt.Sprintf("127.9.0.%d", i+1) }

// startSystem starts the system. run distinguishes the addresses of concurrent
// runs.
func startSystem(dir, bin string, run int, size sizes, failClosed bool) (*system, error) {
	s := &system{dir: dir, bin: bin, size: size, failClosed: failClosed, checker: standin.NewChecker(), stopped: make(chan struct{})}
	var err error
	if s.liveList, err = standin.NewLiveList(); err != nil {
		return nil, err
	}
	for i := range size.controls {
		p, err := startProxy(address(run, advertisedControl, i, internalPort), address(run, actualControl, i, internalPort))
		if err != nil {
			return s, err
		}
		s.links = append(s.links, p)
	}
	if err := s.startEndpoints(endpointHost(run)); err != nil {
		return s, err
	}
	go s.liveList.Run(s.stopped)
	for i := range size.controls {
		if err := s.addControl(run, i); err != nil {
			return s, err
		}
	}
	for i := range s.size.gateways {
		if err := s.addGateway(run, i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// startEndpoints starts the endpoints and their proxies at the host. Another run that took
// the port of one that is down would get its requests and orders.
func (s *system) startEndpoints(host string) error {
	for i := range s.size.endpoints {
		service, limits := standin.EngineService, fleetLimits
		if i >= s.size.endpoints-s.size.ledger {
			service, limits = standin.LedgerService, nil
		}
		e, err := standin.NewEndpoint(host, service, domain(i), limits, s.checker)
		if err != nil {
			return err
		}
		p, err := startProxy(net.JoinHostPort(host, "0"), e.Address())
		if err != nil {
			return err
		}
		s.endpoints, s.links = append(s.endpoints, e), append(s.links, p)
		s.liveList.Add(e, p.address())
	}
	return nil
}

// domainCount is the number of failure domains.
const domainCount = 3

func domain(i int) string { return fmt.Sprintf("d%d", i%domainCount) }

func (s *system) seeds(run int) []string {
	var out []string
	for i := range s.size.controls {
		out = append(out, address(run, advertisedControl, i, operatorPort))
	}
	return out
}

func (s *system) addControl(run, i int) error {
	n := &node{name: fmt.Sprintf("control-%d", i), program: "parsleyramp-fleet", operatorAddress: address(run, advertisedControl, i, operatorPort)}
	n.folder = filepath.Join(s.dir, n.name)
	s.controls = append(s.controls, n)
	return s.launch(n, map[string]any{
		"id": n.name, "address": address(run, advertisedControl, i, internalPort), "listen_address": address(run, actualControl, i, internalPort),
		"operator_address": n.operatorAddress, "domain": domain(i), "data_folder": n.folder, "live_list": s.liveList.Address(),
		"seeds": s.seeds(run), "first_start": true, "order_lease": fleetLimits.OrderLease.String(),
	})
}

func (s *system) addGateway(run, i int) error {
	n := &node{name: fmt.Sprintf("gateway-%d", i), program: "parsleyramp-gateway", clientAddress: address(run, gatewayVM, i, clientPort)}
	s.gateways = append(s.gateways, n)
	values := map[string]any{
		"id": n.name, "caller_address": n.clientAddress, "ready_address": address(run, gatewayVM, i, readyPort),
		"metrics_address": address(run, gatewayVM, i, metricsPort), "peer_address": address(run, gatewayVM, i, peerPort), "endpoint_source_ip": n.ip(), "domain": domain(i), "region": "r",
		"control_seeds": s.seeds(run), "control_port": internalPort, "grace": s.size.grace.String(),
		"retry_ratio": retryBudget.Ratio, "retry_slack": retryBudget.Slack, "retry_window": retryBudget.Window.String(),
	}
	if s.failClosed {
		values["fail_closed"], values["key_max_age"] = true, keyMaxAge.String()
	}
	return s.launch(n, values)
}

// launch writes the settings of a node and starts it for the first time.
func (s *system) launch(n *node, settings map[string]any) error {
	n.settings = filepath.Join(s.dir, n.name+".json")
	if err := writeSettings(n.settings, settings); err != nil {
		return err
	}
	if err := n.start(s); err != nil {
		return err
	}
	if n.folder == "" {
		return nil
	}
	if err := awaitFile(filepath.Join(n.folder, identityFile), formTimeout); err != nil {
		return fmt.Errorf("%s has no identity after its start: %w", n.name, err)
	}
	// Only the first start may form a group.
	settings["first_start"] = false
	return writeSettings(n.settings, settings)
}

const (
	// identityFile is written to the data folder by a control process that has read its
	// settings.
	identityFile = "identity.json"
	// filePollInterval is the time between two looks for a file.
	filePollInterval = 10 * time.Millisecond
)

// awaitFile waits until the file exists, for the timeout at most.
func awaitFile(path string, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(filePollInterval) {
		_, err := os.Stat(path)
		if err == nil || !errors.Is(err, os.ErrNotExist) || time.Now().After(end) {
			return err
		}
	}
}

func writeSettings(path string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	// The file is replaced atomically, because a process may read it at any time.
	if err := os.WriteFile(path+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// restartStopped restarts processes that have exited, as the init system of a VM
// does, until the system is stopped.
func (s *system) restartStopped() {
	for {
		select {
		case <-s.stopped:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, n := range append(append([]*node(nil), s.controls...), s.gateways...) {
			if err := n.start(s); err != nil {
				fmt.Fprintf(os.Stderr, "cannot restart %s: %v\n", n.name, err)
			}
		}
	}
}

// stop stops all processes, endpoints and proxies of the run.
func (s *system) stop() {
	close(s.stopped)
	for _, n := range append(append([]*node(nil), s.gateways...), s.controls...) {
		n.signal(syscall.SIGCONT)
		n.stopAndHold(s, syscall.SIGKILL)
	}
	for _, e := range s.endpoints {
		e.Crash()
	}
	for _, p := range s.links {
		p.close()
	}
	s.liveList.Close()
}
