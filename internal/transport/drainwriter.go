package transport

import "net/http"

// drainWriter adds "Connection: close" to a response whose header is written while
// the server drains, whatever the handler has done to the header before.
type drainWriter struct {
	http.ResponseWriter
	server *ClientFacingServer
	// conn is the connection; nil if it is not known.
	conn        *trackedConn
	wroteHeader bool
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header.
func (w *drainWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announceClose()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes the header, unless that has been done, and a part of the body.
func (w *drainWriter) Write(p []byte) (int, error) {
	w.announceClose()
	return w.ResponseWriter.Write(p)
}

// FlushError writes the header, unless that has been done, and sends what is
// buffered.
func (w *drainWriter) FlushError() error {
	w.announceClose()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// announceClose must be called before the header is written. The close is announced by the last
// response: the HTTP server drops requests that it has read behind one that announces it.
func (w *drainWriter) announceClose() {
	if !w.wroteHeader && w.server.draining.Load() && (w.conn == nil || !w.conn.requestBehind()) {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
}
