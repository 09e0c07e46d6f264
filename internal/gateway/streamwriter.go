package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/fail"
)

const (
	// blockBytes is the size of the blocks in which unwritten bytes of streams are held. Most
	// events fit into one.
	blockBytes = 4 << 10
	// maxUnwrittenBlocks bounds the bytes of one stream that its client has not taken to 256 KB.
	maxUnwrittenBlocks = 64
	// stallTimeout is how long the endpoint is not read from while a client whose buffer is full
	// takes nothing. It is shorter than unresponsiveAfter of package fleet, so that the endpoint
	// is not taken for unresponsive.
	stallTimeout = 500 * time.Millisecond
	// finalWriteTime is how long bytes that were received in time may be written after the
	// request was canceled or its deadline has passed.
	finalWriteTime = 100 * time.Millisecond
)

// block holds bytes of a stream.
type block struct {
	n    int
	data [blockBytes]byte
}

var blockPool = sync.Pool{New: func() any { return new(block) }}

// streamWriter writes a stream to its client in a goroutine of its own, so that a client that
// reads slowly does not keep the gateway from reading from the endpoint. Only the goroutine of
// the request calls write, finish and stop; between the first write and the return of finish or
// stop nothing else may use the http.ResponseWriter.
type streamWriter struct {
	w       http.ResponseWriter
	ctx     context.Context
	set     *streamWriters
	request string
	arrived time.Duration
	cancel  context.CancelCauseFunc

	// held counts the blocks that are taken from the budget.
	held atomic.Int64
	// wake and room hold a token for the goroutine, and for the request that waits for room.
	wake, room chan struct{}
	// done is closed when the goroutine ends.
	done chan struct{}

	mu sync.Mutex
	// pending are the blocks that are not being written, in order.
	pending []*block
	// idle is set while the goroutine waits for wake, and waiting while the request waits
	// for room.
	idle, waiting bool
	// closed is set once nothing more will be written, and ended once the goroutine has ended:
	// then another response may use the connection.
	closed, ended bool
	err           error
}

// start registers the writer and starts its goroutine.
func (w *streamWriter) start() {
	w.wake, w.room, w.done = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	w.set.add(w)
	go w.run()
}

// write takes p over to be written. It waits while the stream holds as much as it may, and
// returns an error once the response has failed.
func (w *streamWriter) write(p []byte) error {
	for len(p) > 0 {
		n, err := w.fill(p)
		if err != nil {
			return err
		}
		p = p[n:]
		if len(p) == 0 {
			break
		}
		if err := w.grow(); err != nil {
			return err
		}
	}
	return nil
}

// fill copies what fits of p into the last block, and wakes the goroutine.
func (w *streamWriter) fill(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	if len(w.pending) == 0 {
		return 0, nil
	}
	last := w.pending[len(w.pending)-1]
	n := copy(last.data[last.n:], p)
	last.n += n
	w.wakeLocked()
	return n, nil
}

// wakeLocked wakes the goroutine if it waits. w.mu must be held.
func (w *streamWriter) wakeLocked() {
	if w.idle {
		w.idle = false
		w.wake <- struct{}{}
	}
}

// grow appends an empty block once the stream may hold one more.
func (w *streamWriter) grow() error {
	if err := w.awaitRoom(); err != nil {
		return err
	}
	w.set.takeBlock()
	b := blockPool.Get().(*block)
	w.held.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		w.release(b)
		return w.err
	}
	w.pending = append(w.pending, b)
	return nil
}

// awaitRoom waits until the stream holds less than it may. It ends the response if the client
// takes nothing for stallTimeout.
func (w *streamWriter) awaitRoom() error {
	w.mu.Lock()
	if w.err != nil || w.held.Load() < maxUnwrittenBlocks {
		defer w.mu.Unlock()
		return w.err
	}
	w.waiting = true
	w.mu.Unlock()
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	select {
	case <-w.room:
	case <-w.ctx.Done():
		if err := w.failure(); err != nil {
			return err
		}
		return fail.Wrap(w.ctx.Err(), fail.Canceled, "the request ended while its client read slowly").WithRan(fail.RanYes)
	case <-timer.C:
		w.set.endStalled(w)
	}
	return w.failure()
}

// release returns a block to the pool and the budget.
func (w *streamWriter) release(b *block) {
	b.n = 0
	blockPool.Put(b)
	w.held.Add(-1)
	w.set.budget.give(blockBytes)
}

// run writes blocks until the stream is closed and written, or the response fails.
func (w *streamWriter) run() {
	defer close(w.done)
	unflushed := false
	for {
		b, open := w.next(!unflushed)
		switch {
		case b != nil:
			_, err := w.w.Write(b.data[:b.n])
			w.written(b)
			if err != nil {
				w.abort(writeFailure(err))
				return
			}
			unflushed = true
		case unflushed:
			if err := http.NewResponseController(w.w).Flush(); err != nil {
				w.abort(writeFailure(err))
				return
			}
			unflushed = false
		case !open:
			return
		default:
			<-w.wake
		}
	}
}

// next returns the next block with bytes, or nil. If there is none and mayIdle is set, the goroutine
// must wait for wake next, unless the stream is no longer open.
func (w *streamWriter) next(mayIdle bool) (b *block, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) > 0 && w.pending[0].n > 0 {
		b = w.pending[0]
		last := copy(w.pending, w.pending[1:])
		w.pending[last] = nil
		w.pending = w.pending[:last]
		return b, true
	}
	open = !w.closed && w.err == nil
	w.idle = mayIdle && open
	return nil, open
}

// written releases a block that was written and reports the room.
func (w *streamWriter) written(b *block) {
	w.release(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting {
		w.waiting = false
		w.room <- struct{}{}
	}
}

func writeFailure(err error) error {
	return fail.Wrap(err, fail.Canceled, "cannot write to the client").WithRan(fail.RanYes)
}

// abort fails the response: it discards what is pending, ends a write that waits for the client,
// and cancels the request, so that the endpoint stops too. It returns false if the response has
// ended or failed before.
func (w *streamWriter) abort(err error) bool {
	w.mu.Lock()
	if w.err != nil || w.ended {
		w.mu.Unlock()
		return false
	}
	w.err = err
	for _, b := range w.pending {
		w.release(b)
	}
	w.pending = nil
	w.limitWrites(time.Unix(1, 0))
	w.wakeLocked()
	w.mu.Unlock()
	w.cancel(err)
	return true
}

// limitWrites sets the time at which writes fail; zero for never. An error means that the
// connection is closed or that its writes never wait. w.mu must be held.
func (w *streamWriter) limitWrites(at time.Time) {
	_ = http.NewResponseController(w.w).SetWriteDeadline(at)
}

// failure returns why the response has failed, or nil.
func (w *streamWriter) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// finish waits until all bytes are written or the response has failed. When the request is
// canceled or its deadline passes, the bytes have finalWriteTime.
func (w *streamWriter) finish() error {
	w.close()
	select {
	case <-w.done:
	case <-w.ctx.Done():
		w.beginFinalWrites()
	}
	return w.end()
}

// close states that nothing more will be written.
func (w *streamWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wakeLocked()
}

func (w *streamWriter) beginFinalWrites() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.limitWrites(time.Now().Add(finalWriteTime))
	}
}

// stop ends the goroutine, at once if finish has not waited for it.
func (w *streamWriter) stop() {
	w.abort(errStopped)
	// The failure is that of abort or an earlier one.
	_ = w.end()
}

// end waits for the goroutine, and returns why the response has failed, or nil.
func (w *streamWriter) end() error {
	<-w.done
	w.set.remove(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.err == nil {
		// The connection may serve another request.
		w.limitWrites(time.Time{})
	}
	w.ended = true
	return w.err
}

// errStopped is the failure of a response whose request ends without finish.
var errStopped = fail.New(fail.Canceled, "the request has ended").WithRan(fail.RanYes)
