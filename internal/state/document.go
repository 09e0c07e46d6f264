package state

import "parsleyramp/internal/wire"

// putDocument stores a fleet document. The highest version wins; a lower or
// equal one is accepted without effect, so that a change may be resent.
func (m *Machine) putDocument(d *wire.Document) *wire.CommandResult {
	if d.GetVersion() == 0 {
		return rejected("the version of a fleet document must be above zero")
	}
	if d.Version > m.document.GetVersion() {
		m.document = clone(d)
	}
	return applied()
}

// Document returns the stored fleet document, or nil. The caller must not modify
// it.
func (m *Machine) Document() *wire.Document { return m.document }
