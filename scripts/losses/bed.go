package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
	"parsleyramp/scripts/internal/testbed"
)

const (
	seedCount    = 3
	gatewayCount = 2
	// catchUp is the time after which a replica that has come back, or the successor of
	// one that is gone, no longer counts as lost.
	catchUp = 4 * time.Second
	// applyTime bounds the time from an acknowledgement until no replica and no gateway
	// shows an older document.
	applyTime = 2 * time.Second
	// recoverTime bounds the time until the group serves again after the last loss.
	recoverTime = 12 * time.Second
	// patience is the time after which what has not happened counts as never. A group that is
	// only slow, because the machine is busy, is late.
	patience    = 45 * time.Second
	callTimeout = time.Second
	retryPause  = 30 * time.Millisecond

	internalPort = 7000
	operatorPort = 7001
	clientPort   = 7002
	readyPort    = 7003
	metricsPort  = 7004
	peerPort     = 7005
)

// engineLimits are valid limits of the model engines, of which there are none.
var engineLimits = &standin.Limits{Slots: 8, WeightsMB: 100e3, AdapterSlots: 1, Models: []standin.Model{{Name: "m0", WeightsMB: 60e3, LoadTime: time.Second}}}

// core is one VM with a control replica.
type core struct {
	id      int
	folder  string
	domain  string
	process *testbed.Process
	// firstStart is the setting with which the process is started next.
	firstStart bool
	seeds      []int
}

// bed holds the processes of one run.
type bed struct {
	ctx       context.Context
	dir, bin  string
	net       int
	random    *rand.Rand
	cores     map[int]*core
	tolerated int
	gateways  []*testbed.Process
	liveList  *standin.LiveList
	endpoint  *standin.Endpoint
	stopped   chan struct{}
	events    *log.Logger
	// version is the newest version sent, newest the newest that was acknowledged, at ackedAt.
	version, newest int
	ackedAt         time.Time
	// added is the number of replicas at new addresses so far.
	added int
}

// newBed starts the replicas, of which the first three are the seeds, and the gateways,
// and waits until a document is acknowledged.
func newBed(ctx context.Context, dir, bin string, net, replicas, domains int, random *rand.Rand) (*bed, error) {
	b := &bed{ctx: ctx, dir: dir, bin: bin, net: net, random: random, cores: map[int]*core{}, tolerated: (replicas - 1) / 2, stopped: make(chan struct{})}
	events, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		return b, err
	}
	b.events = log.New(events, "", log.Ltime|log.Lmicroseconds)
	if b.liveList, err = standin.NewLiveList(); err != nil {
		return b, err
	}
	b.endpoint, err = standin.NewEndpoint(fmt.Sprintf("127.%d.3.1", b.net), standin.LedgerService, "d0", nil, standin.NewChecker())
	if err != nil {
		return b, err
	}
	b.liveList.Add(b.endpoint, b.endpoint.Address())
	go b.liveList.Run(b.stopped)
	for id := 1; id <= replicas; id++ {
		if err := b.add(id, true, fmt.Sprint("d", id%domains)); err != nil {
			return b, err
		}
	}
	for id := range gatewayCount {
		if err := b.addGateway(id + 1); err != nil {
			return b, err
		}
	}
	if _, err := b.put(); err != nil {
		return b, err
	}
	b.wait(catchUp, catchUp)
	return b, nil
}

func (b *bed) event(format string, args ...any) { b.events.Printf(format, args...) }

func (b *bed) address(id, port int) string { return fmt.Sprintf("127.%d.1.%d:%d", b.net, id, port) }

func (b *bed) gatewayAddress(id, port int) string {
	return fmt.Sprintf("127.%d.2.%d:%d", b.net, id, port)
}

func (b *bed) seedAddresses(ids []int) []string {
	var out []string
	for _, id := range ids {
		out = append(out, b.address(id, operatorPort))
	}
	return out
}

// add starts a replica with an empty disk in the failure domain.
func (b *bed) add(id int, first bool, domain string) error {
	c := &core{id: id, folder: filepath.Join(b.dir, fmt.Sprint("core-", id)), domain: domain, firstStart: first}
	for seed := range seedCount {
		c.seeds = append(c.seeds, seed+1)
	}
	b.cores[id] = c
	return b.start(id)
}

// start starts the processes of replicas.
func (b *bed) start(ids ...int) error {
	for _, id := range ids {
		c := b.cores[id]
		process, err := b.launch(fmt.Sprint("core-", id), "parsleyramp-fleet", map[string]any{
			"id": fmt.Sprint("core-", id), "address": b.address(id, internalPort), "operator_address": b.address(id, operatorPort), "domain": c.domain,
			"data_folder": c.folder, "live_list": b.liveList.Address(), "seeds": b.seedAddresses(c.seeds), "first_start": c.firstStart, "tolerated_losses": b.tolerated,
		})
		if err != nil {
			return err
		}
		c.process = process
		b.event("core-%d started, first start %t", id, c.firstStart)
	}
	return nil
}

func (b *bed) addGateway(id int) error {
	name := fmt.Sprint("gateway-", id)
	process, err := b.launch(name, "parsleyramp-gateway", map[string]any{
		"id": name, "caller_address": b.gatewayAddress(id, clientPort), "ready_address": b.gatewayAddress(id, readyPort), "metrics_address": b.gatewayAddress(id, metricsPort),
		"peer_address": b.gatewayAddress(id, peerPort), "domain": fmt.Sprint("d", id%3), "region": "r", "control_seeds": b.seedAddresses([]int{1, 2, 3}), "control_port": internalPort,
	})
	b.gateways = append(b.gateways, process)
	return err
}

func (b *bed) launch(name, program string, settings map[string]any) (*testbed.Process, error) {
	path := filepath.Join(b.dir, name+".json")
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return nil, err
	}
	return testbed.Start(filepath.Join(b.dir, name+".log"), name, filepath.Join(b.bin, program), "-settings", path)
}

// kill kills processes at the same moment.
func (b *bed) kill(ids ...int) {
	for _, id := range ids {
		// An error means that the process has exited.
		_ = b.cores[id].process.Signal(syscall.SIGKILL)
	}
	b.event("killed %v", ids)
	for _, id := range ids {
		b.cores[id].process.Kill()
	}
}

// remove removes replicas for good. It sends SIGTERM unless they are killed.
func (b *bed) remove(killed bool, ids ...int) {
	if killed {
		b.kill(ids...)
	}
	for _, id := range ids {
		p := b.cores[id].process
		delete(b.cores, id)
		if killed {
			continue
		}
		b.event("SIGTERM to core-%d", id)
		_ = p.Signal(syscall.SIGTERM)
		go func() {
			_ = p.Stop()
			b.event("core-%d has exited", id)
		}()
		b.wait(0, 200*time.Millisecond)
	}
}

// empty removes the data of replicas that don't run.
func (b *bed) empty(ids ...int) error {
	for _, id := range ids {
		c := b.cores[id]
		c.firstStart = false
		b.event("core-%d has lost its disk", id)
		if err := errors.Join(os.RemoveAll(c.folder), os.Mkdir(c.folder, 0o755)); err != nil {
			return err
		}
	}
	return nil
}

// wipe kills replicas, empties their disks and starts them again.
func (b *bed) wipe(ids ...int) error { return b.crash(ids, ids) }

// crash kills replicas at the same moment, empties the disks of some of them and starts
// all again, in any order within a second.
func (b *bed) crash(killed, emptied []int) error {
	b.kill(killed...)
	if err := b.empty(emptied...); err != nil {
		return err
	}
	killed = slices.Clone(killed)
	b.random.Shuffle(len(killed), func(i, j int) { killed[i], killed[j] = killed[j], killed[i] })
	b.wait(100*time.Millisecond, 400*time.Millisecond)
	for _, id := range killed {
		if err := b.start(id); err != nil {
			return err
		}
		b.wait(0, 150*time.Millisecond)
	}
	return nil
}

func (b *bed) signal(s syscall.Signal, ids ...int) {
	for _, id := range ids {
		_ = b.cores[id].process.Signal(s)
		b.event("%v to core-%d", s, id)
	}
}

// all returns the ids of all replicas that are not removed.
func (b *bed) all() []int { return slices.Sorted(maps.Keys(b.cores)) }

// others returns n random replicas other than the given ones; all of them if n is zero.
func (b *bed) others(n int, but ...int) []int {
	out := slices.DeleteFunc(b.all(), func(id int) bool { return slices.Contains(but, id) })
	b.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	if n > 0 {
		out = out[:n]
	}
	return out
}

// wait waits for a random time between the two.
func (b *bed) wait(least, most time.Duration) {
	time.Sleep(least + time.Duration(b.random.Float64()*float64(most-least)))
}

// stop kills all processes.
func (b *bed) stop() {
	close(b.stopped)
	for _, c := range b.cores {
		c.process.Kill()
	}
	for _, p := range b.gateways {
		p.Kill()
	}
	if b.endpoint != nil {
		b.endpoint.Crash()
	}
	if b.liveList != nil {
		b.liveList.Close()
	}
}
