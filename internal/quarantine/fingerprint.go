package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
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

// partBit is set in the fingerprints of parts of prompts, and in no other.
const partBit = 1 << 63

// Fingerprint returns the keyed digest of the content.
func (k Key) Fingerprint(c Content) uint64 {
	return k.digest([]byte(c.Path), []byte(c.Caller), c.Body) &^ partBit
}

// PartFingerprint returns the keyed digest of a part of prompts, which requests share,
// whatever else they hold.
func (k Key) PartFingerprint(id string) uint64 { return k.digest([]byte(id)) | partBit }

// IsPart reports whether the fingerprint is that of a part.
func IsPart(fingerprint uint64) bool { return fingerprint&partBit != 0 }

func (k Key) digest(fields ...[]byte) uint64 {
	h := hmac.New(sha256.New, k)
	for _, f := range fields {
		// Writing to a hash does not fail. The lengths keep the fields apart.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(f))))
		_, _ = h.Write(f)
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// FormatFingerprints returns the form of several fingerprints in logs.
func FormatFingerprints(all []uint64) string {
	out := make([]string, len(all))
	for i, f := range all {
		out[i] = FormatFingerprint(f)
	}
	return strings.Join(out, " ")
}

// FormatFingerprint returns the form of a fingerprint in logs.
func FormatFingerprint(f uint64) string { return fmt.Sprintf("%016x", f) }
