package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

// Content is what a request asks for, whoever sends it.
type Content struct {
	// Path is the path with the query.
	Path string
	Body []byte
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

const (
	// partBit is set in the fingerprints of parts of prompts, and in no other.
	partBit = 1 << 63
	// callerBit is set in those of one caller's requests with a content.
	callerBit = 1 << 62
	// callerMask covers the bits that tell the callers of a content apart. They are zero in
	// the fingerprint of the content itself.
	callerMask = (1<<20 - 1) << 42
)

// Fingerprint returns the keyed digest of the content. Its requests have it in common, for
// endpoints see nothing of a caller but what the request holds.
func (k Key) Fingerprint(c Content) uint64 {
	return k.digest([]byte(c.Path), c.Body) &^ (partBit | callerBit | callerMask)
}

// CallerFingerprint returns the fingerprint of one caller's requests with the content. It
// tells them from those of others where the content alone crashes no endpoint.
func (k Key) CallerFingerprint(content uint64, caller string) uint64 {
	return content | callerBit | k.digest([]byte(caller))&callerMask
}

// PartFingerprint returns the keyed digest of a part of prompts, which requests share,
// whatever else they hold.
func (k Key) PartFingerprint(id string) uint64 { return k.digest([]byte(id)) | partBit }

// IsPart reports whether the fingerprint is that of a part.
func IsPart(fingerprint uint64) bool { return fingerprint&partBit != 0 }

// isContent reports whether the fingerprint is that of the content of requests.
func isContent(fingerprint uint64) bool { return fingerprint&(partBit|callerBit) == 0 }

// sameContent reports whether the fingerprints are those of requests with one content.
func sameContent(a, b uint64) bool {
	const mask = ^uint64(callerBit | callerMask)
	return !IsPart(a) && a&mask == b&mask
}

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
