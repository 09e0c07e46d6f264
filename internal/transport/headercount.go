//go:build !go1.27

package transport

import "net/http"

// allowHeaderLines does nothing: net/http before Go 1.27 does not limit the lines of a head.
func allowHeaderLines(*http.Server) {}
