package transport

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
)

var compressedRefused = metrics.GetOrCreateCounter("parsleyramp_compressed_requests_refused_total")

const (
	// maxPeerMessageBytes limits one message between the system's own processes.
	maxPeerMessageBytes = 64 << 20
	// compressMinBytes is the size from which messages are compressed. A
	// compressor takes more memory than most messages.
	compressMinBytes = 16 << 10
)

// PeerHandlerOptions returns the options of the RPC handlers that serve the
// system's own processes.
func PeerHandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithCompressMinBytes(compressMinBytes)}
}

// compressionHeaders are those by which a call states how its messages are compressed.
var compressionHeaders = []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"}

// RefuseCompressed returns a handler that refuses compressed requests with status 415. The system's own processes send
// none, and the limits of listeners count the bytes that arrive, of which a compressed message makes a thousand times
// as many.
func RefuseCompressed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, name := range compressionHeaders {
			if encoding := r.Header.Get(name); encoding != "" && encoding != "identity" {
				compressedRefused.Inc()
				http.Error(w, "compressed requests are not accepted", http.StatusUnsupportedMediaType)
				return
			}
		}
		h.ServeHTTP(w, r)
	})
}
