// Package jsonarray splits a JSON object with an array of which some elements cannot be
// read, because another writer has put any bytes there, into the elements that can.
package jsonarray

import (
	"bytes"
	"encoding/json"
	"slices"

	"parsleyramp/internal/fail"
)

const (
	// maxRecoveredBytes bounds an element that is found behind one that cannot be read.
	maxRecoveredBytes = 64 << 10
	// maxRecoveryBytes bounds what is read in all to find such elements.
	maxRecoveryBytes = 16 << 20
)

// Split returns the elements of the array that are valid JSON, and the object with the
// array empty. Where an element is no JSON it goes on with the next object for which sound
// returns true. It returns an error if the object cannot be read without the array.
func Split(text []byte, key string, sound func(element []byte) bool) (elements [][]byte, rest []byte, err error) {
	begin, end, ok := bounds(text, key)
	if !ok {
		return nil, nil, fail.New(fail.EndpointFailed, "no JSON object with the array "+key)
	}
	s := splitter{body: text[begin:end], sound: sound, left: maxRecoveryBytes}
	s.split()
	rest = append(bytes.Clone(text[:begin]), text[end:]...)
	return s.elements, rest, nil
}

// bounds returns the positions behind the opening bracket of the array and of its closing
// one: the last that leaves a valid object without the array.
func bounds(text []byte, key string) (begin, end int, ok bool) {
	begin = arrayBegin(text, key)
	if begin < 0 {
		return 0, 0, false
	}
	for end = bytes.LastIndexByte(text, ']'); end >= begin; end = bytes.LastIndexByte(text[:end], ']') {
		object := append(bytes.Clone(text[:begin]), text[end:]...)
		if json.Valid(object) {
			return begin, end, true
		}
		if len(text)-end > maxRecoveredBytes {
			break
		}
	}
	return 0, 0, false
}

// arrayBegin returns the position behind the opening bracket of the array, or -1.
func arrayBegin(text []byte, key string) int {
	name := []byte(`"` + key + `"`)
	for from := 0; ; {
		i := bytes.Index(text[from:], name)
		if i < 0 {
			return -1
		}
		from += i + len(name)
		at := skip(text, from, " \t\r\n")
		if at < len(text) && text[at] == ':' {
			at = skip(text, at+1, " \t\r\n")
			if at < len(text) && text[at] == '[' {
				return at + 1
			}
		}
	}
}

// skip returns the position of the first byte from at on that is not in the set.
func skip(text []byte, at int, set string) int {
	for at < len(text) && bytes.IndexByte([]byte(set), text[at]) >= 0 {
		at++
	}
	return at
}

// splitter splits the inside of an array.
type splitter struct {
	body     []byte
	sound    func(element []byte) bool
	elements [][]byte
	// left is how many bytes may still be read to find elements behind unreadable ones.
	left int
}

func (s *splitter) split() {
	for at := 0; ; {
		at = skip(s.body, at, " \t\r\n,")
		if at >= len(s.body) {
			return
		}
		if element, next, ok := elementAt(s.body[at:]); ok {
			s.elements = append(s.elements, element)
			at += next
			continue
		}
		next, found := s.recover(at)
		if !found {
			if s.left < 0 {
				s.splitBackwards(at)
			}
			return
		}
		at = next
	}
}

// splitBackwards adds the sound objects at the end of the array, behind the position.
func (s *splitter) splitBackwards(from int) {
	s.left = maxRecoveryBytes
	var found [][]byte
	for end := len(s.body); ; {
		begin, comma := s.lastObject(from, end)
		if begin < 0 {
			break
		}
		found = append(found, s.body[begin:end])
		end = comma
	}
	slices.Reverse(found)
	s.elements = append(s.elements, found...)
}

// lastObject returns the position of the sound object that ends at the end, and of the
// comma before it, or -1.
func (s *splitter) lastObject(from, end int) (begin, comma int) {
	for comma = bytes.LastIndexByte(s.body[from:end], ','); comma >= 0; comma = bytes.LastIndexByte(s.body[from:from+comma], ',') {
		begin = from + comma + 1
		if s.left -= end - begin; s.left < 0 || end-begin > maxRecoveredBytes {
			break
		}
		if object := s.body[begin:end]; json.Valid(object) && s.sound(object) {
			return begin, from + comma
		}
	}
	return -1, -1
}

// recover returns the position of the next sound object behind a comma after the one at
// which no element can be read.
func (s *splitter) recover(at int) (int, bool) {
	for {
		comma := bytes.IndexByte(s.body[at:], ',')
		if comma < 0 {
			return 0, false
		}
		at = skip(s.body, at+comma+1, " \t\r\n")
		if at >= len(s.body) || s.body[at] != '{' {
			continue
		}
		window := s.body[at:min(len(s.body), at+maxRecoveredBytes)]
		element, read, ok := objectAt(window)
		if s.left -= read; s.left < 0 {
			return 0, false
		}
		if ok && s.sound(element) {
			return at, true
		}
	}
}

// elementAt returns the valid JSON value at the beginning of the text, and the position of
// the comma behind it, or the end.
func elementAt(text []byte) (element []byte, next int, ok bool) {
	end := valueEnd(text)
	next = skip(text, end, " \t\r\n")
	if next < len(text) && text[next] != ',' || !json.Valid(text[:end]) {
		return nil, 0, false
	}
	return text[:end], next, true
}

// objectAt returns the valid JSON object at the beginning of the text, and how many bytes
// it has read.
func objectAt(text []byte) (element []byte, read int, ok bool) {
	end := valueEnd(text)
	return text[:end], end, json.Valid(text[:end])
}

// valueEnd returns the end of the value at the beginning of the text, by its brackets and
// quotes alone.
func valueEnd(text []byte) int {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
			if !quoted && depth == 0 {
				return i + 1
			}
		case quoted:
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth <= 0 {
				return i + 1
			}
		case c == ',' && depth == 0:
			return i
		}
	}
	return len(text)
}
