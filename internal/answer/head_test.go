package answer

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
)

// scanInParts returns the result of scanning the head in parts that are drawn.
func scanInParts(t *rapid.T, head string, hasChunks bool) error {
	var s HeadScanner
	for head != "" {
		n := rapid.IntRange(1, len(head)).Draw(t, "part")
		s.Scan([]byte(head[:n]))
		head = head[n:]
	}
	return s.Check(hasChunks)
}

func TestHeadIsCheckedHoweverItArrives(t *testing.T) {
	const sound = "HTTP/1.1 200 A b : c\r\nA: b\r\nC:  d e : f \r\nX-!#$%&'*+-.^_`|~1:\r\n"
	for name, c := range map[string]struct {
		lines     string
		hasChunks bool
		valid     bool
	}{
		"sound":                      {"", false, true},
		"chunks":                     {"Transfer-Encoding: chunked\r\n", true, true},
		"chunks without the version": {"transfer-encoding: chunked\r\n", false, false},
		"a longer name":              {"Transfer-Encodings: chunked\r\n", false, true},
		"blank in a name":            {"A b: c\r\n", true, false},
		"blank after a name":         {"A : c\r\n", true, false},
		"folded line":                {" A: c\r\n", true, false},
		"folded by a tab":            {"\tA: c\r\n", true, false},
		"control byte":               {"A\x01: c\r\n", true, false},
		"byte above ASCII":           {"A\x80: c\r\n", true, false},
		"no name":                    {": c\r\n", true, false},
		"no colon":                   {"A\r\n", true, false},
		"return within a head":       {"\rA: c\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				head := sound + c.lines + "\r\n"
				if rapid.Bool().Draw(t, "LF") {
					head = strings.ReplaceAll(head, "\r\n", "\n")
				}
				err := scanInParts(t, head+"body with : and\n blanks\r\n", c.hasChunks)
				if valid := err == nil; valid != c.valid || err != nil && !fail.Is(err, fail.ForeignAnswer) {
					t.Fatalf("error %v, want it valid %t", err, c.valid)
				}
			})
		})
	}
}

func TestCheckFields(t *testing.T) {
	for name, valid := range map[string]bool{"A-1": true, "": false, "A b": false, "A ": false, "A\x80": false, "Ä": false} {
		if err := CheckFields(http.Header{name: {"1"}}); (err == nil) != valid {
			t.Errorf("error %v for the name %q, want it valid %t", err, name, valid)
		}
	}
}
