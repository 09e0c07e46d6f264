package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// watchHold is how long a control VM holds a call without news, and watchTimeout
	// the time after which the connection is taken for lost.
	watchHold    = 2 * time.Second
	watchTimeout = watchHold + 400*time.Millisecond
	// minWatchRetry and maxWatchRetry bound the pause before another call to a control
	// VM that did not respond. The pause doubles with each such call.
	minWatchRetry = 50 * time.Millisecond
	maxWatchRetry = 400 * time.Millisecond
	// watcherUpdateInterval is the time between two comparisons of the watchers with
	// the known control VMs.
	watcherUpdateInterval = 500 * time.Millisecond
	// fetchSpread is the time over which gateways spread the fetches of a new document,
	// so that replicas that learn of it later share them with the leader.
	fetchSpread = 60 * time.Millisecond
	// fetchTimeout bounds one fetch of a document, and fetchHedge is the time after
	// which it is fetched from a second control VM too.
	fetchTimeout = time.Second
	fetchHedge   = 200 * time.Millisecond
)

// watchLoop watches every known control VM until ctx ends. A document that the control
// group has acknowledged is known to the leader at once and to each other replica with
// the leader's next message, so that it reaches this gateway although some VMs do not
// respond, this gateway does not know the leader, or exchanges with it fail.
func (g *Gateway) watchLoop(ctx context.Context) {
	watchers := map[string]context.CancelFunc{}
	for {
		known := map[string]bool{}
		for _, conn := range g.control.Conns() {
			known[conn.Address] = true
			if watchers[conn.Address] == nil {
				watchCtx, cancel := context.WithCancel(ctx)
				watchers[conn.Address] = cancel
				go g.watchVM(watchCtx, conn)
			}
		}
		for address, cancel := range watchers {
			if !known[address] {
				cancel()
				delete(watchers, address)
			}
		}
		if !wait.For(ctx, watcherUpdateInterval) {
			return
		}
	}
}

// watchVM calls one control VM again and again until ctx ends.
func (g *Gateway) watchVM(ctx context.Context, conn controlclient.Conn) {
	pause := minWatchRetry
	for ctx.Err() == nil {
		news, err := g.watchOnce(ctx, conn)
		if err != nil {
			// The VM may be down for long, so that a line for each call says nothing.
			g.log.WithError(err).WithField("control", conn.Address).Debug("watch call failed")
			wait.For(ctx, pause)
			pause = min(2*pause, maxWatchRetry)
			continue
		}
		pause = minWatchRetry
		g.leaderHint.apply(g, news)
		if news.DocumentVersion > g.documentVersion() {
			g.fetchDocument(ctx, conn, news.DocumentVersion)
		}
	}
}

func (g *Gateway) watchOnce(ctx context.Context, conn controlclient.Conn) (*wire.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	resp, err := conn.Fleet.Watch(ctx, connect.NewRequest(&wire.WatchRequest{
		DocumentVersion: g.documentVersion(), Term: g.leaderHint.known(), HoldMs: uint32(watchHold.Milliseconds()),
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// documentVersion returns the version of the document in force here, zero if there is
// none.
func (g *Gateway) documentVersion() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// fetchDocument fetches the document of a version that the control VM knows, unless
// another watcher does so first. It returns once the version is in force or the VM has
// failed to deliver it.
func (g *Gateway) fetchDocument(ctx context.Context, conn controlclient.Conn, version uint64) {
	wait.For(ctx, time.Duration(g.randFloat()*float64(fetchSpread)))
	for ctx.Err() == nil && g.documentVersion() < version {
		changed := g.changed.wait()
		if pause := g.fetches.begin(g.clock()); pause > 0 {
			waitForChange(ctx, changed, pause)
			continue
		}
		if err := g.fetchOnce(ctx, conn); err != nil {
			g.log.WithError(err).WithFields(logrus.Fields{"control": conn.Address, "version": version}).Info("fetching the fleet document failed")
			return
		}
	}
}

func (g *Gateway) fetchOnce(ctx context.Context, conn controlclient.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := conn.Fleet.GetDocument(ctx, connect.NewRequest(&wire.GetDocumentRequest{}))
	if err != nil {
		return err
	}
	if resp.Msg.Version <= g.documentVersion() {
		return nil
	}
	text, err := decompress(resp.Msg.GzipText)
	if err != nil {
		return err
	}
	g.applyDocument(&wire.Document{Version: resp.Msg.Version, Text: text})
	return nil
}

// maxDocumentBytes bounds the text of a fleet document.
const maxDocumentBytes = 64 << 20

func decompress(gzipText []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(gzipText))
	if err != nil {
		return nil, fail.Wrap(err, fail.BadDocument, "cannot decompress the fleet document")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return nil, fail.Wrap(err, fail.BadDocument, "cannot decompress the fleet document")
	}
	return text, nil
}

// documentFetches spaces the fetches of documents by fetchHedge. Its zero value is
// ready.
type documentFetches struct {
	mu     sync.Mutex
	nextAt time.Duration
}

// begin reserves a fetch that starts now and returns zero, or returns the time until
// another one may start.
func (f *documentFetches) begin(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < f.nextAt {
		return f.nextAt - now
	}
	f.nextAt = now + fetchHedge
	return 0
}

// leaderHint is the newest leader that any control VM has named.
type leaderHint struct {
	mu   sync.Mutex
	term uint64
}

func (h *leaderHint) known() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

// apply makes the calls of the gateway go to the leader that the response names, if it
// leads in a newer term.
func (h *leaderHint) apply(g *Gateway, news *wire.WatchResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if news.Leader == "" || news.Term <= h.term {
		return
	}
	h.term = news.Term
	g.control.Prefer(news.Leader)
	g.log.WithFields(logrus.Fields{"control": news.Leader, "term": news.Term}).Info("control leader changed")
}
