package upstream

import (
	"io"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
)

const (
	// maxHeadBytes bounds the head of a response, which is held in memory.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds what is read in all before the head of the response to a
	// request: interim responses, and responses to other requests.
	maxSkippedBytes = 256 << 10
)

var errTooLong = fail.New(fail.ForeignAnswer, "the endpoint sends more bytes than a response may have before its body").WithRan(fail.RanUnknown)

// readLimit is a reader that fails once a limit is reached. Without a limit it reads on.
type readLimit struct {
	r       io.Reader
	limited bool
	left    int64
	// head scans what is read of a head; nil for other bytes.
	head *answer.HeadScanner
	// hold is called with the size of a long head that is being read; nil for none.
	hold func(bytes int) error
}

// set allows n more bytes to be read.
func (l *readLimit) set(n int64) { l.limited, l.left = true, n }

// lift removes the limit. Later heads are not held.
func (l *readLimit) lift() { l.limited, l.hold = false, nil }

// Read reads within the limit.
func (l *readLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if failure := l.scan(p[:n]); failure != nil {
		return 0, failure
	}
	return n, err
}

// scan scans what has been read of a head.
func (l *readLimit) scan(p []byte) error {
	if l.head == nil {
		return nil
	}
	l.head.Scan(p)
	if l.hold == nil || l.head.Bytes() < answer.MinHeldBytes {
		return nil
	}
	return l.hold(l.head.Bytes())
}
