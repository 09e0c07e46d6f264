package desired

import (
	"bytes"
	"sync"
)

// Cache holds, by a name that the caller chooses, the result of parsing the latest
// text of that name. It is safe for concurrent use. The sections that it returns
// are shared and must not be modified.
type Cache struct {
	mu     sync.Mutex
	parsed map[string]cachedSection
}

type cachedSection struct {
	text    []byte
	section *Section
	err     error
}

// ParseSection is like the function ParseSection, but does not parse a text again
// that equals the latest one of the name.
func (c *Cache) ParseSection(name string, text []byte) (*Section, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.parsed[name]; ok && bytes.Equal(known.text, text) {
		return known.section, known.err
	}
	s, err := ParseSection(text)
	if c.parsed == nil {
		c.parsed = map[string]cachedSection{}
	}
	c.parsed[name] = cachedSection{text: bytes.Clone(text), section: s, err: err}
	return s, err
}
