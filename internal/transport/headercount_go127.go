//go:build go1.27

package transport

import "net/http"

// maxHeaderLines exceeds what fits in a head of maxClientHeaderBytes, which with the limits of listeners bounds heads:
// documents limit the bytes of a head and not its lines, of which net/http accepts 500 by default since Go 1.27.
const maxHeaderLines = maxClientHeaderBytes

func allowHeaderLines(s *http.Server) { s.MaxHeaderValueCount = maxHeaderLines }
