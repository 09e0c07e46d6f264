package transport

import (
	"net/http"
	"time"
)

// limits bound how long a caller may take, so that slow ones hold neither
// memory nor a place at an endpoint for long.
type limits struct {
	// body is the time in which a request's body must have arrived.
	body time.Duration
	// write is the time in which each part of an answer must be taken.
	write time.Duration
}

// callerLimits are the limits towards callers.
var callerLimits = limits{body: 30 * time.Second, write: 30 * time.Second}

// guard sets the deadlines of a connection while a request is served. No
// deadline may outlive its part of the exchange: the server removes the one of
// the body once it has been read, and that of the answer is set anew before
// each part.
func (l limits) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		out := &guardedWriter{ResponseWriter: w, control: c, limit: l.write}
		out.extend()
		if r.Body != http.NoBody {
			_ = c.SetReadDeadline(time.Now().Add(l.body))
		}
		// The last part of the answer is sent after the handler has returned.
		defer out.extend()
		next.ServeHTTP(out, r)
	})
}

// guardedWriter gives each part of an answer its own deadline.
type guardedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
}

func (w *guardedWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(w.limit)) }

// Write sends a part of the answer.
func (w *guardedWriter) Write(p []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *guardedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
