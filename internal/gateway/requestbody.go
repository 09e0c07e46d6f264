package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/transport"
)

const (
	// defaultBodyBytes bounds a request body if the fleet document sets no limit.
	defaultBodyBytes = 4 << 20
	// bodyChunkBytes is the first step in which a body is read; each further one doubles it, up to
	// the length that the client states. One that states a long body and does not send it holds little.
	bodyChunkBytes = 8 << 10
	// bodiesRetryAfter is the Retry-After of a request whose body does not fit.
	bodiesRetryAfter = 500 * time.Millisecond
)

var (
	// errBodiesFull rejects a request whose body does not fit beside those in flight.
	errBodiesFull = transport.ErrBodiesFull.WithRetryAfter(bodiesRetryAfter)
	// errBodyLate rejects a request whose body has not arrived when the request times out.
	errBodyLate = fail.New(fail.RequestTimeout, "the request body did not arrive within the time of the request")
)

// readBodyInTime is readBody until the request times out.
func (q *request) readBodyInTime(ctx context.Context, limit int64) error {
	ctx, cancel := context.WithTimeout(ctx, q.deadline-q.g.clock())
	defer cancel()
	return q.readBody(ctx, limit)
}

// readBody reads the body of the request, of limit bytes at most, until ctx ends. A body that
// does not fit beside those in flight is read and discarded, so that the client receives the rejection.
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
	err := q.readBodyFrom(ctx, reader, min(q.httpRequest.ContentLength, limit))
	if errors.Is(err, transport.ErrBodiesFull) {
		q.body = nil
		// An error leaves the rejection as it is.
		_, _ = io.Copy(io.Discard, reader)
		return errBodiesFull
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(context.Cause(ctx), errShutdown):
		return errShutdown
	case errors.As(err, &tooLarge):
		return fail.Wrap(err, fail.BodyTooLarge, "the request body exceeds the size limit")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errBodyLate
	}
	return fail.Wrap(err, fail.BadRequest, "cannot read the request body")
}

// readBodyFrom reads the body into q.body. length is what the client states, or negative.
func (q *request) readBodyFrom(ctx context.Context, reader io.Reader, length int64) error {
	for {
		size := max(bodyChunkBytes, 2*int64(len(q.body)))
		if length >= 0 {
			size = min(size, length)
		}
		if err := q.growBody(ctx, int(size)); err != nil {
			return err
		}
		err := q.fillBody(reader)
		if err == nil && int64(len(q.body)) == length {
			// Reads the end, or that the body exceeds the limit.
			var end [1]byte
			_, err = io.ReadFull(reader, end[:])
		}
		if err == io.EOF && int64(len(q.body)) >= length {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fillBody reads into the rest of q.body's capacity. It returns io.EOF only where the body has ended, and not where it
// breaks off.
func (q *request) fillBody(reader io.Reader) error {
	for len(q.body) < cap(q.body) {
		n, err := reader.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// growBody grows the capacity of q.body to size bytes, or returns an error if they do not fit beside the bodies
// in flight.
func (q *request) growBody(ctx context.Context, size int) error {
	if err := transport.ReserveBody(ctx, size-len(q.body)); err != nil {
		return err
	}
	grown := make([]byte, len(q.body), size)
	copy(grown, q.body)
	q.body = grown
	return nil
}
