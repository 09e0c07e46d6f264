package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Content is what makes two attempts of clients the same request.
type Content struct {
	// Path is the path with the query.
	Path string
	// Caller identifies the client across its connections.
	Caller string
	Body   []byte
}

// Key is the key of fingerprints. All gateways of a fleet have the same one, so that
// they give the same request the same fingerprint, and no one else can tell from a
// fingerprint what the request was.
type Key []byte

// NewKey derives the key of the control group with the name.
func NewKey(group string) Key {
	sum := sha256.Sum256([]byte("fingerprint key " + group))
	return sum[:]
}

// Fingerprint returns the keyed digest of the content.
func (k Key) Fingerprint(c Content) uint64 {
	h := hmac.New(sha256.New, k)
	for _, part := range [][]byte{[]byte(c.Path), []byte(c.Caller), c.Body} {
		// Writing to a hash does not fail. The lengths keep the parts apart.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write(part)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// FormatFingerprint returns the form of a fingerprint in logs.
func FormatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }
