package answer

import (
	"net/http"
	"strings"

	"parsleyramp/internal/fail"
)

// A line of a head that is not a field may be one that states the end of the body, such as
// "Content-Length : 3", so that neither the head nor the body can be used.
var (
	errFieldName  = fail.New(fail.ForeignAnswer, "a field of the answer has an invalid name").WithRan(fail.RanUnknown)
	errFoldedLine = fail.New(fail.ForeignAnswer, "a line of the answer's head begins with a blank").WithRan(fail.RanUnknown)
	errOldChunks  = fail.New(fail.ForeignAnswer, "the answer has a Transfer-Encoding, which its version of HTTP lacks").WithRan(fail.RanUnknown)
)

const transferEncoding = "Transfer-Encoding"

// HeadScanner checks the lines of an answer's head as they are received (RFC 9112, sections 5 and
// 6.1). net/http accepts blanks in names and lines that begin with one, and ignores a
// Transfer-Encoding before HTTP/1.1. The zero value is the start of a head.
type HeadScanner struct {
	state headState
	// bytes counts the bytes of the head.
	bytes int
	// name holds the name of the current field, as far as it may be Transfer-Encoding.
	name []byte
	// encoded is set once a field is named Transfer-Encoding.
	encoded bool
	err     error
}

// headState is a position in a head.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	afterCR
	inName
	inValue
	afterHead
)

// Scan scans the next bytes, and ignores those after the head.
func (s *HeadScanner) Scan(p []byte) {
	for _, b := range p {
		if s.state == afterHead || s.err != nil {
			return
		}
		s.bytes++
		s.step(b)
	}
}

// Bytes returns how many bytes of the head have been scanned.
func (s *HeadScanner) Bytes() int { return s.bytes }

func (s *HeadScanner) step(b byte) {
	switch s.state {
	case inStatusLine, inValue:
		if b == '\n' {
			s.state = atLineStart
		}
	case atLineStart:
		s.beginLine(b)
	case afterCR:
		s.state = afterHead
		if b != '\n' {
			s.err = errFieldName
		}
	case inName:
		s.stepName(b)
	}
}

func (s *HeadScanner) beginLine(b byte) {
	s.name = s.name[:0]
	switch b {
	case '\r':
		s.state = afterCR
	case '\n':
		s.state = afterHead
	case ' ', '\t':
		s.err = errFoldedLine
	case ':':
		s.err = errFieldName
	default:
		s.state = inName
		s.stepName(b)
	}
}

func (s *HeadScanner) stepName(b byte) {
	switch {
	case b == ':':
		s.encoded = s.encoded || strings.EqualFold(string(s.name), transferEncoding)
		s.state = inValue
	case !isTokenByte(b):
		s.err = errFieldName
	case len(s.name) <= len(transferEncoding):
		s.name = append(s.name, b)
	}
}

// Check fails with fail.ForeignAnswer if a line of the head was no field with a valid name, or
// named an encoding though the answer's version of HTTP has no chunks.
func (s *HeadScanner) Check(hasChunks bool) error {
	if s.err == nil && s.encoded && !hasChunks {
		return errOldChunks
	}
	return s.err
}

// CheckFields checks the names of the fields of an answer that has been read by net/http. It fails
// with fail.ForeignAnswer if one is invalid.
func CheckFields(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isTokenByte(byte(r)) }) {
			return errFieldName
		}
	}
	return nil
}

// isTokenByte reports whether a token may contain the byte (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
