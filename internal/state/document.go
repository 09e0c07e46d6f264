package state

import "parsleyramp/internal/wire"

// putDocument stores a whole declaration. The highest version wins; a lower or
// equal one is accepted and changes nothing, so that a change may be sent again.
func (m *Machine) putDocument(d *wire.Document) *wire.CommandResult {
	if d.GetVersion() == 0 {
		return rejected("a document needs a version above zero")
	}
	if d.Version > m.document.GetVersion() {
		m.document = clone(d)
	}
	return applied()
}

// Document returns the whole declaration in force, or nil. The caller must not
// change it.
func (m *Machine) Document() *wire.Document { return m.document }
