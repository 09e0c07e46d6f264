package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// Key is an API key of a workspace. It holds a hash of the text instead of the text: fmt
// prints unexported fields without their formatting methods, so that a text would reach logs
// with any struct that holds a key. Keys are comparable; the zero value is no key.
type Key struct{ sum [sha256.Size]byte }

// NewKey returns the key with the text.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{sha256.Sum256([]byte(text))}
}

// Empty reports whether there is no key.
func (k Key) Empty() bool { return k == Key{} }

// fingerprintBytes is the length of a fingerprint: enough to tell the keys of one document
// apart, too little to check a guess of a key against with certainty.
const fingerprintBytes = 4

// Fingerprint returns a short hash by which operators tell keys apart.
func (k Key) Fingerprint() string {
	return hex.EncodeToString(k.sum[:fingerprintBytes])
}

// String returns the fingerprint.
func (k Key) String() string { return "key:" + k.Fingerprint() }

// Format writes the fingerprint, whatever the verb.
func (k Key) Format(f fmt.State, _ rune) {
	// A formatter cannot return an error.
	_, _ = fmt.Fprint(f, k.String())
}

// MarshalText returns the fingerprint.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	Keys []Key
	// Priority takes precedence over that of the route; nil if none is declared.
	Priority *int
	Quota    Quota
}

// HasKey reports whether the workspace, which may be nil, has a key with the fingerprint.
func (w *Workspace) HasKey(fingerprint string) bool {
	return w != nil && slices.ContainsFunc(w.Keys, func(k Key) bool { return k.Fingerprint() == fingerprint })
}

// Quota bounds the requests of a workspace over all gateways.
type Quota struct {
	// PerSecond and Burst are the rate and the size of the token bucket, in requests or in
	// tokens; both zero for no limit.
	PerSecond float64
	Burst     float64
	// InTokens is set if requests count by their tokens.
	InTokens bool
	// PlainTokens is how many tokens a request counts that states none.
	PlainTokens int
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Cost returns how much of the quota a request takes that states the tokens, zero for none.
func (q Quota) Cost(promptTokens, maxOutputTokens int) float64 {
	switch {
	case !q.InTokens:
		return 1
	case promptTokens <= 0 && maxOutputTokens <= 0:
		return float64(q.PlainTokens)
	}
	return float64(max(promptTokens, 0)) + float64(max(maxOutputTokens, 0))
}

// PriorityOf returns the priority of a request of the workspace, which may be nil, on the
// route.
func (w *Workspace) PriorityOf(r *Route) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// checkWorkspaces returns an error if workspaces have no usable name, or share a name or a
// key.
func (d *Document) checkWorkspaces() error {
	names, owners := map[string]bool{}, map[Key]string{}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		switch {
		case w.Name == "":
			return invalid("workspaces: a workspace has no name")
		case !isHeaderValue(w.Name):
			return invalid(fmt.Sprintf("workspaces: name %q cannot be sent as a header", w.Name))
		case names[w.Name]:
			return invalid(fmt.Sprintf("workspaces: duplicate workspace name %s", w.Name))
		case w.Quota.PerSecond < 0 || w.Quota.Burst < 0:
			return invalid(fmt.Sprintf("workspace %s: its quota is negative", w.Name))
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if k.Empty() {
				return invalid(fmt.Sprintf("workspace %s: one of its keys is empty", w.Name))
			}
			if other, ok := owners[k]; ok && other != w.Name {
				return invalid(fmt.Sprintf("workspaces %s and %s share a key", other, w.Name))
			}
			owners[k] = w.Name
		}
	}
	return nil
}

// isHeaderValue reports whether a header can carry the text unchanged.
func isHeaderValue(text string) bool {
	control := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, control)
}
