package transport

import "bytes"

// lookahead follows the bytes that a server has read from a connection, as far as it takes to tell
// whether requests have arrived behind the one that is served. Its zero value is that of a
// connection from which nothing has been read. A blank line in a body of known length may
// make it tell of a request that has not arrived.
type lookahead struct {
	// blankLines counts those that were read since the connection was idle: one ends the head
	// of each request, and one each body in chunks. due is how many of them belong to
	// requests that have begun.
	blankLines, due int
	// tail counts the bytes after the last blank line, and body those of them that belong to
	// the last request that has begun.
	tail, body int64
	// line counts the bytes of the line that has begun, and endsInCR is set if its last is CR.
	line     int
	endsInCR bool
}

// reset begins anew when everything that was read belongs to requests that have ended, or to
// a head that is not whole.
func (l *lookahead) reset() { l.blankLines, l.due, l.tail, l.body = 0, 0, 0, 0 }

// read records bytes that were read.
func (l *lookahead) read(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			l.tail += int64(len(p))
			l.line += len(p)
			l.endsInCR = p[len(p)-1] == '\r'
			return
		}
		if i > 0 {
			l.endsInCR = p[i-1] == '\r'
		}
		l.tail += int64(i + 1)
		if length := l.line + i; length == 0 || length == 1 && l.endsInCR {
			l.blankLines++
			l.tail = 0
		}
		l.line, l.endsInCR = 0, false
		p = p[i+1:]
	}
}

// begin records that the next request is served, whose body has the length; below zero for one
// in chunks.
func (l *lookahead) begin(body int64) {
	l.due++
	if body < 0 {
		l.due++
	}
	l.body = max(body, 0)
}

// more reports whether bytes have been read behind the last request that has begun.
func (l *lookahead) more() bool {
	return l.blankLines > l.due || l.blankLines == l.due && l.tail > l.body
}
