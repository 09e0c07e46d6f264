package transport

import (
	"io"
	"net/http"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// recordUnreadBody makes a connection linger if the handler responds to a request without
// having read its body.
func recordUnreadBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*trackedConn)
		if !ok || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		body := &observedBody{ReadCloser: r.Body}
		observed := r.WithContext(r.Context())
		observed.Body = body
		h.ServeHTTP(w, observed)
		if !body.reachedEOF {
			c.setLinger(true)
		}
	})
}

// resetAborted resets the connection if the handler aborts a response to a client of
// HTTP/1.0, which takes an orderly close for the end of the response.
func resetAborted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*trackedConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			h.ServeHTTP(w, r)
			return
		}
		aborted := true
		defer func() {
			if aborted {
				c.resetOnClose()
			}
		}()
		h.ServeHTTP(w, r)
		aborted = false
	})
}

// observedBody records whether a body has been read to its end.
type observedBody struct {
	io.ReadCloser
	reachedEOF bool
}

// Read reads from the body.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.reachedEOF = true
	}
	return n, err
}
