package settings_test

import (
	"bytes"
	"testing"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/settings"
)

// FuzzParse reads any text as the settings of each program.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		before := bytes.Clone(text)
		for _, p := range programs {
			value := p.newDefault()
			err := settings.Parse("file", text, value)
			if !bytes.Equal(text, before) {
				t.Fatal("Parse changed the text that it was given")
			}
			if err != nil && !fail.Is(err, fail.BadSettings) {
				t.Fatalf("untyped failure: %v", err)
			}
			var c settings.Checker
			if value.Check(&c); err == nil && len(c.Problems()) > 0 {
				t.Fatalf("accepted with problems: %v", c.Problems())
			}
		}
	})
}
