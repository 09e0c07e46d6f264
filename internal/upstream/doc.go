// Package upstream is an HTTP/1.1 client for endpoints that reports whether a
// failed request can have run. It never retries a request, knows whether any
// byte of it was written, skips responses to earlier requests, and reuses a
// connection only if the last response on it was complete.
//
// It does not use net/http's Transport, which retries some requests if a
// reused connection breaks and does not report when the first byte was written.
package upstream
