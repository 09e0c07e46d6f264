package buffers

import "io"

// Reader reads a body that is held in memory.
type Reader struct {
	body io.Reader
	hold func(bytes int) error
	// bytes counts those that have been read.
	bytes int
}

// NewReader returns a reader of the body that calls hold with the number of bytes it has read. If hold
// fails, so does the read.
func NewReader(body io.Reader, hold func(bytes int) error) *Reader {
	return &Reader{body: body, hold: hold}
}

// Read reads from the body.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.bytes += n
	if failure := r.hold(r.bytes); failure != nil {
		return 0, failure
	}
	return n, err
}
