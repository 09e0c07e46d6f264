package desired

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzParse parses arbitrary text as a section. An accepted section must give an
// equal section after it is marshalled and parsed again.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		before := bytes.Clone(text)
		s, problems := Parse(text)
		if !bytes.Equal(text, before) {
			t.Fatal("Parse modified its input")
		}
		if (s == nil) == (len(problems) == 0) {
			t.Fatalf("got section %v and problems %v, want exactly one of them", s, problems)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Line > 1+bytes.Count(text, []byte("\n")) {
				t.Fatalf("line %d of a problem is not in the text: %v", p.Line, p)
			}
		}
		if s == nil {
			return
		}
		written, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, problems := Parse(written)
		if !reflect.DeepEqual(s, again) {
			t.Fatalf("%s was accepted, but gives problems %v after a round trip", text, problems)
		}
	})
}
