package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"parsleyramp/internal/fail"
)

const (
	// defaultBodyBytes bounds a request body if the fleet document sets no limit.
	defaultBodyBytes = 4 << 20
	// bodyMemoryRatio is the share of the process's memory that the bodies of all requests
	// in flight may take together, and defaultAllBodyBytes the bound without a memory limit.
	bodyMemoryRatio     = 0.25
	defaultAllBodyBytes = 128 << 20
	// bodyChunkBytes is the first step in which a body of unknown length is read; each
	// further one doubles it.
	bodyChunkBytes = 64 << 10
	// bodiesRetryAfter is the Retry-After of a request whose body does not fit.
	bodiesRetryAfter = 500 * time.Millisecond
)

// errBodiesFull rejects a request whose body does not fit beside those in flight.
var errBodiesFull = fail.New(fail.Unavailable, "the bodies of the requests in flight take all the memory that is meant for them").WithRetryAfter(bodiesRetryAfter)

// maxAllBodyBytes returns the bound on the bodies of all requests in flight together.
func (s *Settings) maxAllBodyBytes() int {
	if s.MemoryMB == 0 {
		return defaultAllBodyBytes
	}
	return int(float64(s.MemoryMB) * bodyMemoryRatio * (1 << 20))
}

// readBody reads the body of the request, of limit bytes at most, until ctx ends. It takes
// the body's memory from the budget of all bodies, which returnBody gives back. A body that
// does not fit is read and discarded, so that the client receives the rejection.
func (q *request) readBody(ctx context.Context, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	stop := context.AfterFunc(ctx, func() {
		// An error means that the connection is closed.
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now())
	})
	defer stop()
	reader := http.MaxBytesReader(q.w, q.httpRequest.Body, limit)
	err := q.readBodyFrom(reader, min(q.httpRequest.ContentLength, limit))
	if errors.Is(err, errBodiesFull) {
		q.returnBody()
		// An error leaves the rejection as it is.
		_, _ = io.Copy(io.Discard, reader)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil || errors.Is(err, errBodiesFull):
		return err
	case errors.Is(context.Cause(ctx), errShutdown):
		return errShutdown
	case errors.As(err, &tooLarge):
		return fail.Wrap(err, fail.BodyTooLarge, "the request body exceeds the size limit")
	}
	return fail.Wrap(err, fail.BadRequest, "cannot read the request body")
}

// readBodyFrom reads the body into q.body. length is what the client states, or negative.
func (q *request) readBodyFrom(reader io.Reader, length int64) error {
	for {
		next := int64(max(bodyChunkBytes, len(q.body)))
		if length >= 0 {
			next = length - int64(len(q.body))
		}
		if next > 0 && !q.takeBody(int(next)) {
			return errBodiesFull
		}
		n, err := io.ReadFull(reader, q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		switch {
		case err == io.EOF || err == io.ErrUnexpectedEOF && length < 0:
			return nil
		case err != nil:
			return err
		case length >= 0:
			// Reads the end, or that the body exceeds the limit.
			var end [1]byte
			_, err := io.ReadFull(reader, end[:])
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

// takeBody grows the capacity of q.body by n bytes, or returns false if the budget of all
// bodies does not allow it.
func (q *request) takeBody(n int) bool {
	if !q.g.bodies.take(n, q.g.cfg.maxAllBodyBytes()) {
		return false
	}
	q.bodyBytes += n
	grown := make([]byte, len(q.body), len(q.body)+n)
	copy(grown, q.body)
	q.body = grown
	return true
}

// returnBody returns the body's memory to the budget.
func (q *request) returnBody() {
	q.g.bodies.give(q.bodyBytes)
	q.body, q.bodyBytes = nil, 0
}
