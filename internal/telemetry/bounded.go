package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the queue of lines that are not yet written.
	maxQueuedLines = 512
	// burstDuration bounds the unused budget to the bytes that the rate allows in
	// this time, so that short bursts may exceed the rate several times.
	burstDuration = 4 * time.Second
	// dropReportInterval is the time between two reports of dropped lines.
	dropReportInterval = time.Second
)

var droppedLines = metrics.GetOrCreateCounter("parsleyramp_log_lines_left_out_total")

// BoundedWriter writes log lines through a queue at a limited rate of bytes per
// second. Write never blocks: lines beyond the rate, or that find the queue full
// because the reader is slow, are dropped and counted. It is safe for concurrent
// use.
type BoundedWriter struct {
	mu         sync.Mutex
	rate       float64
	budget     float64
	refilledAt time.Time
	dropped    int
	lines      chan []byte
	done       chan struct{}
	closed     bool
}

// NewBoundedWriter returns a writer to out that is limited to bytesPerSecond.
func NewBoundedWriter(out io.Writer, bytesPerSecond int) *BoundedWriter {
	w := &BoundedWriter{
		rate: float64(bytesPerSecond), budget: float64(bytesPerSecond) * burstDuration.Seconds(), refilledAt: time.Now(),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go w.writeLines(out)
	return w
}

// Write queues one line or drops it. It never fails.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.budget = min(w.budget+now.Sub(w.refilledAt).Seconds()*w.rate, w.rate*burstDuration.Seconds())
	w.refilledAt = now
	if w.closed || w.budget < float64(len(p)) {
		w.drop()
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
		w.budget -= float64(len(p))
	default:
		w.drop()
	}
	return len(p), nil
}

func (w *BoundedWriter) drop() {
	w.dropped++
	droppedLines.Inc()
}

// resetDropped resets the number of dropped lines and returns its previous value.
func (w *BoundedWriter) resetDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// writeLines writes the queued lines and, at every dropReportInterval, a line with
// the number of dropped ones. Errors of out are ignored, because there is nowhere
// else to log them.
func (w *BoundedWriter) writeLines(out io.Writer) {
	defer close(w.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				w.reportDropped(out)
				return
			}
			_, _ = out.Write(line)
		case <-tick.C:
			w.reportDropped(out)
		}
	}
}

func (w *BoundedWriter) reportDropped(out io.Writer) {
	if n := w.resetDropped(); n > 0 {
		fmt.Fprintf(out, "level=warning msg=\"log lines dropped\" lines=%d\n", n)
	}
}

// Close writes the queued lines, waiting for at most the given time. Lines written
// after it are dropped.
func (w *BoundedWriter) Close(limit time.Duration) {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
