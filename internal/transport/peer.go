package transport

import "connectrpc.com/connect"

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
