package closing

import (
	"bytes"
	"sync"
)

// Cache keeps the parsed form of each section text that was asked for last,
// by a name that the caller chooses. It is safe for concurrent use. What it
// returns is shared: nobody may change it.
type Cache struct {
	mu     sync.Mutex
	parsed map[string]cachedSection
}

type cachedSection struct {
	text    []byte
	section *Section
	err     error
}

// ParseSection is the function of that name, done once for each text.
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
