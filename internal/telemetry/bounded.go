package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// boundedLines bounds the lines that wait to be written.
	maxQueuedLines = 512
	// boundedBurst is how long a burst at several times the rate may last, as
	// the time in which the rate fills the budget.
	burstDuration = 4 * time.Second
	// leftOutInterval is the time between two lines on what was left out.
	dropReportInterval = time.Second
)

var droppedLines = metrics.GetOrCreateCounter("parsleyramp_log_lines_left_out_total")

// BoundedWriter passes log lines on within a budget of bytes a second. Write
// never blocks: lines beyond the budget, or that a slow reader leaves no room
// for, are counted and left out. It is safe for concurrent use.
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

// NewBoundedWriter returns a writer to out with a budget of bytes a second.
func NewBoundedWriter(out io.Writer, bytesPerSecond int) *BoundedWriter {
	w := &BoundedWriter{
		rate: float64(bytesPerSecond), budget: float64(bytesPerSecond) * burstDuration.Seconds(), refilledAt: time.Now(),
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
	}
	go w.writeLines(out)
	return w
}

// Write takes one line, or leaves it out. It never fails.
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

// takeLeftOut returns how many lines were left out since the last call.
func (w *BoundedWriter) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// drain writes the lines and tells, now and then, how many are missing. A write
// that fails leaves nobody to tell.
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
	if n := w.takeDropped(); n > 0 {
		fmt.Fprintf(out, "level=warning msg=\"log lines left out\" lines=%d\n", n)
	}
}

// Close writes what waits, for at most the given time.
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
