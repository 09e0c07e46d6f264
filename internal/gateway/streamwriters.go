package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
)

const (
	// maxAllUnwrittenBytes bounds the bytes of all streams that clients have not taken. Together
	// with maxAllBufferedBytes it must stay below half of the memory limit of the smallest
	// gateways.
	maxAllUnwrittenBytes = 8 << 20
	// slowReaderLogInterval is the least time between two log lines on slow readers.
	slowReaderLogInterval = time.Second
)

// Reasons for which the response of a slow reader is ended.
const (
	slowStalled = "stalled"
	slowTotal   = "total"
)

// errSlowReader is the failure of a response whose client reads too slowly.
var errSlowReader = fail.New(fail.Canceled, "the client reads too slowly").WithRan(fail.RanYes)

// streamWriters are the streams that are being written. Its zero value is empty. It is safe for
// concurrent use.
type streamWriters struct {
	budget byteBudget
	clock  func() time.Duration
	log    *logrus.Entry

	mu      sync.Mutex
	writers map[*streamWriter]struct{}
	// loggedAt is when a slow reader was last logged, and unlogged counts those since.
	loggedAt time.Duration
	unlogged int
}

func (s *streamWriters) init(clock func() time.Duration, log *logrus.Entry) {
	s.clock, s.log, s.writers = clock, log, map[*streamWriter]struct{}{}
	s.loggedAt = -slowReaderLogInterval
}

func (s *streamWriters) add(w *streamWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writers[w] = struct{}{}
}

func (s *streamWriters) remove(w *streamWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.writers, w)
}

// takeBlock takes a block from the budget. While too many are held, it ends the response of the
// slowest reader, which may be that of the caller. The blocks of ended responses that are still being
// written are not waited for: one of each at most.
func (s *streamWriters) takeBlock() {
	for !s.budget.take(blockBytes, maxAllUnwrittenBytes) {
		w := s.removeSlowest()
		if w == nil {
			s.budget.used.Add(blockBytes)
			return
		}
		s.end(w, slowTotal)
	}
}

// removeSlowest removes and returns the stream that holds the most blocks, of several the oldest;
// nil if no stream holds any.
func (s *streamWriters) removeSlowest() *streamWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *streamWriter
	most := int64(0)
	for w := range s.writers {
		n := w.held.Load()
		if n > most || n == most && slowest != nil && w.arrived < slowest.arrived {
			slowest, most = w, n
		}
	}
	delete(s.writers, slowest)
	return slowest
}

// endStalled ends the response of a client that has taken nothing for stallTimeout.
func (s *streamWriters) endStalled(w *streamWriter) {
	s.remove(w)
	s.end(w, slowStalled)
}

func (s *streamWriters) end(w *streamWriter, reason string) {
	held := w.held.Load() * blockBytes
	if !w.abort(errSlowReader) {
		return
	}
	slowReadersEnded.count(reason)
	unlogged, ok := s.mayLog()
	if !ok {
		return
	}
	s.log.WithFields(logrus.Fields{
		"request": w.request, "reason": reason, "unwritten_bytes": held, "age_ms": (s.clock() - w.arrived).Milliseconds(),
		"all_unwritten_bytes": s.budget.used.Load(), "not_logged": unlogged,
	}).Warn("response of a slow reader ended")
}

// mayLog reports whether a slow reader may be logged now, and how many were not since the last.
func (s *streamWriters) mayLog() (unlogged int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if now-s.loggedAt < slowReaderLogInterval {
		s.unlogged++
		return 0, false
	}
	unlogged = s.unlogged
	s.loggedAt, s.unlogged = now, 0
	return unlogged, true
}
