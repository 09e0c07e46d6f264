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
	boundedLines = 512
	// boundedBurst is how long a burst at several times the rate may last, as
	// the time in which the rate fills the budget.
	boundedBurst = 4 * time.Second
	// leftOutInterval is the time between two lines on what was left out.
	leftOutInterval = time.Second
)

var linesLeftOut = metrics.GetOrCreateCounter("parsleyramp_log_lines_left_out_total")

// BoundedWriter passes log lines on within a budget of bytes a second. Write
// never blocks: lines beyond the budget, or that a slow reader leaves no room
// for, are counted and left out. It is safe for concurrent use.
type BoundedWriter struct {
	mu      sync.Mutex
	rate    float64
	budget  float64
	at      time.Time
	leftOut int
	lines   chan []byte
	done    chan struct{}
	closed  bool
}

// NewBoundedWriter returns a writer to out with a budget of bytes a second.
func NewBoundedWriter(out io.Writer, bytesPerSecond int) *BoundedWriter {
	w := &BoundedWriter{
		rate: float64(bytesPerSecond), budget: float64(bytesPerSecond) * boundedBurst.Seconds(), at: time.Now(),
		lines: make(chan []byte, boundedLines), done: make(chan struct{}),
	}
	go w.drain(out)
	return w
}

// Write takes one line, or leaves it out. It never fails.
func (w *BoundedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.budget = min(w.budget+now.Sub(w.at).Seconds()*w.rate, w.rate*boundedBurst.Seconds())
	w.at = now
	if w.closed || w.budget < float64(len(p)) {
		w.skip()
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
		w.budget -= float64(len(p))
	default:
		w.skip()
	}
	return len(p), nil
}

func (w *BoundedWriter) skip() {
	w.leftOut++
	linesLeftOut.Inc()
}

// takeLeftOut returns how many lines were left out since the last call.
func (w *BoundedWriter) takeLeftOut() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.leftOut
	w.leftOut = 0
	return n
}

// drain writes the lines and tells, now and then, how many are missing. A write
// that fails leaves nobody to tell.
func (w *BoundedWriter) drain(out io.Writer) {
	defer close(w.done)
	tick := time.NewTicker(leftOutInterval)
	defer tick.Stop()
	for {
		select {
		case line, ok := <-w.lines:
			if !ok {
				w.noteLeftOut(out)
				return
			}
			_, _ = out.Write(line)
		case <-tick.C:
			w.noteLeftOut(out)
		}
	}
}

func (w *BoundedWriter) noteLeftOut(out io.Writer) {
	if n := w.takeLeftOut(); n > 0 {
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
