package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Sizes of the small deployment that the cases play.
const (
	controlCount = 3
	readyTimeout = 25 * time.Second
	drainTime    = 3 * time.Second
	contactTime  = 3 * time.Second
	applyTime    = 2 * time.Second
)

var zones = []string{"riga-a", "riga-b", "riga-c"}

// process is one process of the system.
type process struct {
	name, program, settings string
	cmd                     *exec.Cmd
	done                    chan struct{}
}

// node is a gateway with its addresses.
type node struct {
	*process
	client, ready, metrics string
}

// system is a running system with the stand-ins around it.
type system struct {
	dir, bin  string
	record    *record
	arrivals  *arrivals
	list      *liveList
	controls  []*process
	operators []string
	gateways  []*node
	network   int
	ports     map[string]int
}

// host returns a loopback address of the case.
func (s *system) host(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, kind, i+1) }

const (
	controlHosts = iota + 1
	gatewayHosts
	serverHosts
)

// startSystem starts the control replicas and so many gateways, with servers that add adds to the list.
func startSystem(dir, bin string, r *record, gateways int, add func(*system) error) (*system, error) {
	s := &system{dir: dir, bin: bin, record: r, arrivals: &arrivals{}, network: 20 + rand.IntN(200), ports: map[string]int{}}
	for _, name := range []string{"internal", "operator", "client", "ready", "peer", "directory"} {
		port, err := freePort(s.host(serverHosts, 0))
		if err != nil {
			return s, err
		}
		s.ports[name] = port
	}
	var err error
	if s.list, err = startLiveList(s.host(serverHosts, 0)); err != nil {
		return s, err
	}
	if err := add(s); err != nil {
		return s, err
	}
	for i := range controlCount {
		s.operators = append(s.operators, s.address(controlHosts, i, "operator"))
	}
	for i := range controlCount {
		if err := s.startControl(i); err != nil {
			return s, err
		}
	}
	for i := range gateways {
		if err := s.startGateway(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func freePort(host string) (int, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (s *system) address(kind, i int, port string) string {
	return net.JoinHostPort(s.host(kind, i), strconv.Itoa(s.ports[port]))
}

// startControl starts a control replica at the first start of the system.
func (s *system) startControl(i int) error {
	p, err := s.start(controlName(i), "parsleyramp-fleet", s.controlSettings(i, true))
	s.controls = append(s.controls, p)
	return err
}

func controlName(i int) string { return fmt.Sprintf("core-%s-%d", zones[i%len(zones)], i/len(zones)+1) }

// controlSettings returns the settings of deploy/fleet.jsonc for a control replica.
func (s *system) controlSettings(i int, firstStart bool) map[string]any {
	return map[string]any{
		"id": controlName(i), "address": s.address(controlHosts, i, "internal"), "operator_address": s.address(controlHosts, i, "operator"),
		"domain": zones[i%len(zones)], "data_folder": s.dataFolder(i), "live_list": s.list.address, "seeds": s.seeds(), "tolerated_losses": 1,
		"first_start": firstStart, "order_lease": "3000ms", "store_window": "5s", "memory_mb": 280, "client_limits": map[string]any{"descriptors": 4096},
	}
}

func (s *system) dataFolder(i int) string { return filepath.Join(s.dir, "data-"+controlName(i)) }

// seeds returns the operator addresses of the replicas of the first start.
func (s *system) seeds() []string { return s.operators[:controlCount] }

// addControl starts one more control replica, with an empty disk.
func (s *system) addControl() error {
	i := len(s.controls)
	s.operators = append(s.operators, s.address(controlHosts, i, "operator"))
	p, err := s.start(controlName(i), "parsleyramp-fleet", s.controlSettings(i, false))
	s.controls = append(s.controls, p)
	return err
}

// kill ends a process at once.
func (s *system) kill(p *process) {
	s.record.add("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// loseDisk kills a control replica, empties its folder and starts it again after the pause, at the same address.
func (s *system) loseDisk(i int, pause time.Duration) error {
	s.kill(s.controls[i])
	if err := os.RemoveAll(s.dataFolder(i)); err != nil {
		return err
	}
	s.record.add("the disk of %s is lost", s.controls[i].name)
	time.Sleep(pause)
	p, err := s.start(controlName(i), "parsleyramp-fleet", s.controlSettings(i, false))
	s.controls[i] = p
	return err
}

// startGateway starts a gateway with the settings of deploy/gateway.jsonc.
func (s *system) startGateway(i int) error {
	name := fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1)
	n := &node{client: s.address(gatewayHosts, i, "client"), ready: s.address(gatewayHosts, i, "ready"), metrics: s.address(gatewayHosts, i, "internal")}
	var err error
	n.process, err = s.start(name, "parsleyramp-gateway", map[string]any{
		"id": name, "caller_address": n.client, "ready_address": n.ready, "directory_address": s.address(gatewayHosts, i, "directory"),
		"metrics_address": n.metrics, "peer_address": s.address(gatewayHosts, i, "peer"), "domain": zones[i%len(zones)], "region": "riga",
		"control_seeds": s.seeds(), "control_port": s.ports["internal"], "grace": "8s", "retry_ratio": 0.2, "retry_slack": 58, "retry_window": "10s",
		"memory_mb": 284, "client_limits": map[string]any{"descriptors": 4100},
	})
	s.gateways = append(s.gateways, n)
	return err
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (s *system) start(name, program string, settings map[string]any) (*process, error) {
	p := &process{name: name, program: program, settings: filepath.Join(s.dir, name+".jsonc"), done: make(chan struct{})}
	data, err := json.Marshal(settings)
	if err != nil {
		return p, err
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return p, err
	}
	return p, s.launch(p)
}

func (s *system) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(s.bin, p.program), "-settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The system ends with the case, whatever ends that.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		s.record.add("process %s has ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	s.record.add("process %s started", p.name)
	return nil
}

// stop kills all processes and waits until they have ended.
func (s *system) stop() {
	var all []*process
	all = append(all, s.controls...)
	for _, g := range s.gateways {
		all = append(all, g.process)
	}
	for _, p := range all {
		if p != nil && p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// awaitReady sends the configuration and waits until all gateways are ready.
func (s *system) awaitReady(document []byte) error {
	end := time.Now().Add(readyTimeout)
	accepted := false
	for time.Now().Before(end) {
		if !accepted {
			status, _ := s.put(document)
			accepted = status == http.StatusOK
		}
		ready := accepted
		for _, g := range s.gateways {
			ready = ready && isReady(g.ready)
		}
		if ready {
			s.record.add("all gateways are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the gateways did not become ready")
}

func isReady(address string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
