package settings_test

import (
	"bytes"
	"testing"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/settings"
)

// FuzzParse checks that any text parsed as the settings of each program gives
// either valid settings or a failure with the code bad_settings, and that Parse
// does not modify the text.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		before := bytes.Clone(text)
		for _, p := range programs {
			value := p.newDefault()
			err := settings.Parse("file", text, value)
			if !bytes.Equal(text, before) {
				t.Fatal("Parse modified its input")
			}
			if err != nil && !fail.Is(err, fail.BadSettings) {
				t.Fatalf("failure without the code bad_settings: %v", err)
			}
			var c settings.Checker
			if value.Check(&c); err == nil && len(c.Problems()) > 0 {
				t.Fatalf("accepted settings have problems: %v", c.Problems())
			}
		}
	})
}
