package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/journal"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// benchGroup is a group of three nodes with journals in the temporary directory,
// connected by Connect RPC over loopback.
type benchGroup struct {
	*group
	servers  []*transport.Server
	journals []*journal.Journal
	// sent is the number of bytes that each replica wrote to the network, by id.
	sent [4]atomic.Int64
}

type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.sent}, err
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// receiver handles the messages from other replicas to one node.
type receiver struct {
	g  *benchGroup
	id uint64
}

func (r receiver) Deliver(_ context.Context, req *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	r.g.mu.Lock()
	m := r.g.nodes[r.id]
	r.g.mu.Unlock()
	if m != nil {
		m.node.Deliver(req.Msg.Messages)
	}
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// countingClient returns a client that counts the bytes that one replica writes to
// the others.
func countingClient(sent *atomic.Int64) *http.Client {
	c := transport.NewPeerClient()
	t := c.Transport.(*http.Transport)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, sent}, nil
	}
	return c
}

func newBenchGroup(b *testing.B) *benchGroup {
	g := &benchGroup{group: newGroup(b)}
	m := membershipOf(1, 2, 3)
	ctx, cancel := context.WithCancel(context.Background())
	for _, r := range m.Replicas {
		l, err := transport.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		r.Address = l.Addr().String()
		_, handler := wireconnect.NewReplicaServiceHandler(receiver{g, r.Id})
		g.servers = append(g.servers, transport.Serve(countingListener{l, &g.sent[r.Id]}, handler))
	}
	for _, r := range m.Replicas {
		j, recovered, err := journal.Open(b.TempDir(), func() uint64 { return r.Id })
		if err != nil {
			b.Fatal(err)
		}
		g.journals = append(g.journals, j)
		sender := NewNetworkSender(ctx, countingClient(&g.sent[r.Id]), r.Address, func() string { return "bench" })
		if err := g.runWith(r.Id, recovered, j, sender, 4096).node.Bootstrap(ctx, m); err != nil {
			b.Fatal(err)
		}
	}
	b.Cleanup(func() {
		g.stop()
		cancel()
		for i := range g.servers {
			g.servers[i].Close()
			g.journals[i].Close()
		}
	})
	g.commit("first")
	return g
}

// BenchmarkCommit measures the commits per second and the latency of a commit, from
// proposal to result, with a real sync on each of three nodes.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newBenchGroup(b)
			leader := g.leader()
			var next atomic.Int64
			times := make([]time.Duration, b.N)
			var wg sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
						start := time.Now()
						if _, err := leader.Propose(b.Context(), entryCommand(fmt.Sprintf("e%03d", i%500))); err != nil {
							b.Error(err)
							return
						}
						times[i] = time.Since(start)
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50_ms")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99_ms")
		})
	}
}

// BenchmarkRestart measures the time from opening the data directory to a restored
// node, after a number of committed changes.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			g := newBenchGroup(b)
			leader := g.leader()
			var wg sync.WaitGroup
			for p := range 100 {
				wg.Go(func() {
					for i := p; i < changes; i += 100 {
						if _, err := leader.Propose(b.Context(), entryCommand(fmt.Sprintf("e%05d", i))); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
			id := leader.Identity().ID
			dir := g.journals[id-1].Folder()
			g.kill(id)
			g.journals[id-1].Close()
			b.ResetTimer()
			for range b.N {
				j, r, err := journal.Open(dir, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := NewNode(Options{Recovered: r, Storage: j, Consensus: consensusConfig, Now: func() time.Duration { return 0 }}); err != nil {
					b.Fatal(err)
				}
				j.Close()
			}
		})
	}
}

// BenchmarkIdle measures the bytes that one idle node of three sends per second,
// including the overhead of HTTP/2, and the heap size of one node.
func BenchmarkIdle(b *testing.B) {
	const interval = 5 * time.Second
	g := newBenchGroup(b)
	leader := g.leader().Identity().ID
	time.Sleep(time.Second)
	for range b.N {
		var before [4]int64
		for id := range before {
			before[id] = g.sent[id].Load()
		}
		time.Sleep(interval)
		follower := leader%3 + 1
		b.ReportMetric(float64(g.sent[leader].Load()-before[leader])/interval.Seconds(), "leader_bytes/s")
		b.ReportMetric(float64(g.sent[follower].Load()-before[follower])/interval.Seconds(), "follower_bytes/s")
	}
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	b.ReportMetric(float64(stats.HeapAlloc)/3/(1<<20), "heap_MB/node")
}
