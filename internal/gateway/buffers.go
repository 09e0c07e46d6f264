package gateway

import (
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

// headByteCost is what a byte of a head takes once it is parsed.
const headByteCost = 6

// heldResponse is what the response of one send holds in memory: its head, and what has been read of
// its body or of an event.
type heldResponse struct {
	share *buffers.Share
	head  int64
}

// holdHead records the size of a long head.
func (h *heldResponse) holdHead(bytes int) error {
	h.head = headByteCost * int64(bytes)
	return h.share.Resize(h.head)
}

// hold records how many bytes are held beside the head.
func (h *heldResponse) hold(bytes int) error { return h.share.Resize(h.head + int64(bytes)) }
