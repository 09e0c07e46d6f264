package closing

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzParse reads any text as a section. What is accepted must be accepted
// again with the same meaning once it is written out.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		before := bytes.Clone(text)
		s, problems := Parse(text)
		if !bytes.Equal(text, before) {
			t.Fatal("Parse changed the text that it was given")
		}
		if (s == nil) == (len(problems) == 0) {
			t.Fatalf("section %v with problems %v", s, problems)
		}
		for _, p := range problems {
			if p.Line < 1 || p.Line > 1+bytes.Count(text, []byte("\n")) {
				t.Fatalf("a problem is on line %d: %v", p.Line, p)
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
			t.Fatalf("%s was accepted, but written out gives %v", text, problems)
		}
	})
}
