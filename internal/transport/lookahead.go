package transport

import (
	"bytes"
	"math"
)

// maxBlankLines bounds the blank lines that are remembered of a connection; behind more of them
// nothing is known.
const maxBlankLines = 256

// lookahead follows the bytes that a server has read from a connection, as far as it takes to tell
// whether requests have arrived behind the one that is served. Its zero value is that of a
// connection from which nothing has been read. It takes a blank line in a body in chunks for
// the end of that body.
type lookahead struct {
	// total counts the bytes that were read since the connection was idle, and end those up to
	// the end of the last request that has begun; math.MaxInt64 if that has not been read.
	total, end int64
	// blankLines holds where lines end that are blank, in order, as far as they may end the head
	// of a request that has not begun, or the body in chunks of the last one that has.
	blankLines []int64
	// line counts the bytes of the line that has begun, and endsInCR is set if its last is CR.
	line     int
	endsInCR bool
}

// reset begins anew when everything that was read belongs to requests that have ended, or to
// a head that is not whole.
func (l *lookahead) reset() { l.total, l.end, l.blankLines = 0, 0, l.blankLines[:0] }

// read records bytes that were read.
func (l *lookahead) read(p []byte) {
	if l.end != math.MaxInt64 && l.total < l.end {
		// The rest of a body has no lines.
		rest := min(int64(len(p)), l.end-l.total)
		l.total += rest
		p = p[rest:]
		l.line, l.endsInCR = 0, false
	}
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			l.total += int64(len(p))
			l.line += len(p)
			l.endsInCR = p[len(p)-1] == '\r'
			return
		}
		if i > 0 {
			l.endsInCR = p[i-1] == '\r'
		}
		l.total += int64(i + 1)
		if length := l.line + i; length == 0 || length == 1 && l.endsInCR {
			l.recordBlankLine()
		}
		l.line, l.endsInCR = 0, false
		p = p[i+1:]
	}
}

func (l *lookahead) recordBlankLine() {
	switch {
	case l.end == math.MaxInt64:
		l.end = l.total
	case len(l.blankLines) < maxBlankLines:
		l.blankLines = append(l.blankLines, l.total)
	}
}

// nextBlankLine returns where the first blank line ends that lies behind the position, or
// math.MaxInt64, and forgets those up to it.
func (l *lookahead) nextBlankLine(after int64) int64 {
	for i, at := range l.blankLines {
		if at > after {
			n := copy(l.blankLines, l.blankLines[i+1:])
			l.blankLines = l.blankLines[:n]
			return at
		}
	}
	l.blankLines = l.blankLines[:0]
	return math.MaxInt64
}

// begin records that the next request is served, whose body has the length; below zero for one
// in chunks.
func (l *lookahead) begin(body int64) {
	head := l.nextBlankLine(l.end)
	switch {
	case head == math.MaxInt64:
		// Its head was not understood; nothing is known behind it.
		l.end = l.total
	case body < 0:
		l.end = l.nextBlankLine(head)
	default:
		l.end = head + body
	}
}

// more reports whether bytes have been read behind the last request that has begun.
func (l *lookahead) more() bool { return l.total > l.end }
