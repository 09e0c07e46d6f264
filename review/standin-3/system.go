package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs, the same on all machines.
const (
	portInternal = 7380
	portPeer     = 7381
	portControl  = 8144
	portClients  = 8149
	portReady    = 8141
	portLookup   = 8143
)

// node is one machine with one process.
type node struct {
	name, ip, program string
	settings          map[string]any
	file, log         string
	mu                sync.Mutex
	cmd               *exec.Cmd
	done              chan error
}

// system is the system under test with its stand-ins.
type system struct {
	dir, bin string
	base     string
	list     *platformList
	fleet    []*node
	gateways []*node
	rec      *record
	// machines is how many fleet nodes there have been.
	machines int
}

// freeBase returns the first two octets of a loopback network whose ports are free.
func freeBase() string {
	for i := 0; i < 100; i++ {
		b := fmt.Sprintf("127.%d", 30+(os.Getpid()+i)%200)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1.1:%d", b, portInternal))
		if err == nil {
			l.Close()
			return b
		}
	}
	panic("no free loopback network")
}

// newSystem starts the list and the fleet and gateway processes.
func newSystem(rec *record, fleets, gateways int) *system {
	dir, err := os.MkdirTemp("", "case-")
	must(err)
	s := &system{dir: dir, bin: "target", base: freeBase(), rec: rec}
	s.list = newPlatformList(s.base + ".9.1:8142")
	var seeds []string
	for i := range fleets {
		seeds = append(seeds, fmt.Sprintf("%s.1.%d:%d", s.base, i+1, portControl))
	}
	if len(seeds) > 3 {
		seeds = seeds[:3]
	}
	for range fleets {
		s.newFleet(seeds)
	}
	for i := range gateways {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.2.%d", s.base, i+1), program: "parsleyramp-gateway"}
		n.settings = map[string]any{
			"id": n.name, "caller_address": fmt.Sprintf("%s:%d", n.ip, portClients), "ready_address": fmt.Sprintf("%s:%d", n.ip, portReady),
			"directory_address": fmt.Sprintf("%s:%d", n.ip, portLookup), "metrics_address": fmt.Sprintf("%s:%d", n.ip, portInternal),
			"peer_address": fmt.Sprintf("%s:%d", n.ip, portPeer), "domain": zones[i%3], "region": "r1", "control_seeds": seeds,
			"control_port": portInternal, "grace": "8s", "retry_ratio": 0.2, "retry_slack": 54, "retry_window": "10s", "memory_mb": 284,
			"client_limits": map[string]any{"descriptors": 4100},
		}
		s.gateways = append(s.gateways, n)
	}
	for _, n := range s.all() {
		n.file, n.log = filepath.Join(dir, n.name+".json"), filepath.Join(dir, n.name+".log")
		must(n.write())
		must(n.start(s.bin))
	}
	return s
}

// zones are the platform's zones.
var zones = []string{"za", "zb", "zc"}

// newFleet adds a fleet node, which is not started yet.
func (s *system) newFleet(seeds []string) *node {
	i := s.machines
	s.machines++
	n := &node{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.1.%d", s.base, i+1), program: "parsleyramp-fleet"}
	n.settings = map[string]any{
		"id": n.name, "address": fmt.Sprintf("%s:%d", n.ip, portInternal), "operator_address": fmt.Sprintf("%s:%d", n.ip, portControl),
		"domain": zones[i%3], "data_folder": filepath.Join(s.dir, n.name), "live_list": s.list.address, "seeds": seeds,
		"tolerated_losses": 1, "first_start": true, "order_lease": "3000ms", "store_window": "5s", "memory_mb": 280,
		"client_limits": map[string]any{"descriptors": 4096},
	}
	s.fleet = append(s.fleet, n)
	return n
}

// successor starts a fleet node with an empty disk in the given zone.
func (s *system) successor(zone int) {
	n := s.newFleet(s.fleet[0].settings["seeds"].([]string))
	n.settings["domain"], n.settings["first_start"] = zones[zone], false
	n.file, n.log = filepath.Join(s.dir, n.name+".json"), filepath.Join(s.dir, n.name+".log")
	must(n.write())
	must(n.start(s.bin))
	s.rec.add("%s is started at a new address with an empty disk", n.name)
}

// loseDisk kills the node, empties its folder, and starts it again after the pause with
// first_start false and the seeds in force.
func (s *system) loseDisk(n *node, pause time.Duration) {
	n.kill()
	must(os.RemoveAll(n.settings["data_folder"].(string)))
	s.rec.add("%s loses its disk", n.name)
	time.Sleep(pause)
	var seeds []string
	for _, m := range s.fleet {
		seeds = append(seeds, m.settings["operator_address"].(string))
	}
	n.settings["first_start"], n.settings["seeds"] = false, seeds
	must(n.write())
	must(n.start(s.bin))
	s.rec.add("%s is started again with an empty disk", n.name)
}

func (s *system) all() []*node { return append(append([]*node{}, s.fleet...), s.gateways...) }

func (n *node) write() error {
	data, err := json.MarshalIndent(n.settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, data, 0o600)
}

// start starts the process of the node.
func (n *node) start(bin string) error {
	out, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(bin, n.program), "-settings", n.file)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- c.Wait() }()
	n.mu.Lock()
	n.cmd, n.done = c, done
	n.mu.Unlock()
	return nil
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait(5 * time.Second)
}

// wait waits for the end of the process and reports whether it has ended.
func (n *node) wait(d time.Duration) bool {
	select {
	case err := <-n.done:
		n.done <- err
		return true
	case <-time.After(d):
		return false
	}
}

// stop ends all processes.
func (s *system) stop() {
	for _, n := range s.all() {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	s.list.close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

var operatorClient = &http.Client{Timeout: time.Second}

// put sends a configuration to the nodes in turn until one answers clearly, as operators do.
func (s *system) put(body []byte) (status int, took time.Duration) {
	began := time.Now()
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		n := s.fleet[i%len(s.fleet)]
		status = n.putOnce(body)
		if status == 200 || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status, time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return status, time.Since(began)
}

func (n *node) putOnce(body []byte) int {
	resp, err := operatorClient.Post(fmt.Sprintf("http://%s:%d/config/put", n.ip, portControl), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// ready reports whether the gateway says that it is ready.
func (n *node) ready() bool {
	resp, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, portReady))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all gateways are ready.
func (s *system) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, n := range s.gateways {
			ok = ok && n.ready()
		}
		if ok {
			return true
		}
	}
	return false
}

func must(err error) {
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
}
