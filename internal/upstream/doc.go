// Package upstream is an HTTP/1.1 client for endpoints that tells exactly what
// became of a request. It never sends a request twice by itself, knows whether
// a byte of it has left, skips answers that belong to an earlier request, and
// keeps a connection only where the last answer ended cleanly.
//
// net/http's Transport is not used towards endpoints: it repeats some requests
// on a broken kept connection and hides when the first byte was written.
package upstream
