package fleetcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"math"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// news holds the newest summary of this replica. It is safe for concurrent use.
type news struct {
	mu      sync.Mutex
	summary replica.Summary
	// changed is closed at the next change.
	changed chan struct{}
}

func newNews() *news { return &news{changed: make(chan struct{})} }

func (n *news) publish(s replica.Summary) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.summary = s
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *news) current() (replica.Summary, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.summary, n.changed
}

// await returns the summary once isNews accepts it, or the current one when ctx ends.
func (n *news) await(ctx context.Context, isNews func(replica.Summary) bool) replica.Summary {
	for {
		s, changed := n.current()
		if isNews(s) {
			return s
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s
		}
	}
}

// maxWatchHold bounds how long a Watch call is held without news.
const maxWatchHold = 10 * time.Second

// Watch returns when this replica knows a newer document or leader than the gateway,
// or after the time that the gateway asks for.
func (f *fleetService) Watch(ctx context.Context, req *connect.Request[wire.WatchRequest]) (*connect.Response[wire.WatchResponse], error) {
	known := req.Msg
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(known.HoldMs)*time.Millisecond, maxWatchHold))
	defer cancel()
	s := f.s.news.await(ctx, func(s replica.Summary) bool {
		return s.DocumentVersion > known.DocumentVersion || s.Term > known.Term && s.Leader != ""
	})
	return connect.NewResponse(&wire.WatchResponse{DocumentVersion: s.DocumentVersion, Term: s.Term, Leader: s.Leader}), nil
}

// GetDocument returns the newest document that this replica knows to be committed.
func (f *fleetService) GetDocument(ctx context.Context, _ *connect.Request[wire.GetDocumentRequest]) (*connect.Response[wire.GetDocumentResponse], error) {
	var d *wire.Document
	err := f.s.node.ReadStale(ctx, func(m *state.Machine) { d = m.Document() })
	if err != nil {
		return nil, f.s.node.RPCError(ctx, err)
	}
	if d == nil {
		return connect.NewResponse(&wire.GetDocumentResponse{}), nil
	}
	text, err := f.s.compressed.text(d)
	if err != nil {
		return nil, f.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.GetDocumentResponse{Version: d.Version, GzipText: text}), nil
}

// compression returns the options by which the responses of a procedure are compressed.
// Documents are compressed already.
func compression(spec connect.Spec) []connect.HandlerOption {
	if spec.Procedure != wireconnect.FleetServiceGetDocumentProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompressMinBytes(math.MaxInt)}
}

// compressedDocument holds the compressed text of the newest document, so that it is
// compressed once and not for each gateway. Its zero value is empty. It is safe for
// concurrent use.
type compressedDocument struct {
	mu       sync.Mutex
	version  uint64
	gzipText []byte
}

// text returns the compressed text of the document.
func (c *compressedDocument) text(d *wire.Document) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gzipText != nil && c.version == d.Version {
		return c.gzipText, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(d.Text); err != nil {
		return nil, fail.Wrap(err, fail.Internal, "compress the fleet document")
	}
	if err := w.Close(); err != nil {
		return nil, fail.Wrap(err, fail.Internal, "compress the fleet document")
	}
	c.version, c.gzipText = d.Version, b.Bytes()
	return c.gzipText, nil
}
