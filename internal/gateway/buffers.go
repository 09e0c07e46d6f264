package gateway

import (
	"io"
	"sync/atomic"

	"parsleyramp/internal/buffers"
)

// byteBudget bounds a number of bytes. Its zero value is unused. It is safe for concurrent use.
type byteBudget struct{ used atomic.Int64 }

// take reports whether n more bytes may be held, which give returns, with a total of at most limit.
func (b *byteBudget) take(n, limit int) bool {
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

func (b *byteBudget) give(n int) { b.used.Add(-int64(n)) }

// bufferedBody is the body of a response that is held in memory.
type bufferedBody struct {
	io.Reader
	share *buffers.Share
	bytes int64
}

// Read reads from the body, unless too many bytes are held.
func (b *bufferedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.bytes += int64(n)
	if failure := b.share.Resize(b.bytes); failure != nil {
		return 0, failure
	}
	return n, err
}
