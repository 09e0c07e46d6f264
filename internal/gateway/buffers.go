package gateway

import (
	"io"
	"sync/atomic"

	"parsleyramp/internal/fail"
)

// bufferBudget bounds the bytes of responses that are held in memory at the same time. Its
// zero value is unused. It is safe for concurrent use.
type bufferBudget struct{ used atomic.Int64 }

// take reports whether n more bytes may be held, which give returns, with a total of at most limit.
func (b *bufferBudget) take(n, limit int) bool {
	for {
		used := b.used.Load()
		if used+int64(n) > int64(limit) {
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

func (b *bufferBudget) give(n int) { b.used.Add(-int64(n)) }

// bufferedBody is the body of a response that is held in memory until its request ends.
type bufferedBody struct {
	io.Reader
	q *request
}

// Read reads from the body, unless too many bytes are held.
func (b *bufferedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if !b.q.g.buffers.take(n, maxAllBufferedBytes) {
		return 0, fail.New(fail.Overloaded, "too many bytes of responses are being buffered")
	}
	b.q.bufferedBytes += n
	return n, err
}
