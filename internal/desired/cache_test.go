package desired

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

func sectionText(models int) []byte {
	s := Section{Team: "desk"}
	for i := range models {
		s.Models = append(s.Models, Model{Name: fmt.Sprintf("model-%d", i), Version: "1", MemoryMB: 1, Replicas: 1})
	}
	text, _ := json.Marshal(s)
	return text
}

func TestCacheParsesChangedText(t *testing.T) {
	var c Cache
	for _, text := range [][]byte{sectionText(1), sectionText(2), []byte("{"), sectionText(2), sectionText(1)} {
		want, wantErr := ParseSection(text)
		for range 2 {
			got, err := c.ParseSection("desk", text)
			if !reflect.DeepEqual(got, want) || fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("got %v, %v; want %v, %v", got, err, want, wantErr)
			}
		}
	}
}

// BenchmarkParse measures a section with the target number of models, parsed anew
// and read from the cache.
func BenchmarkParse(b *testing.B) {
	text := sectionText(390)
	b.Run("anew", func(b *testing.B) {
		for b.Loop() {
			_, _ = ParseSection(text)
		}
	})
	b.Run("cached", func(b *testing.B) {
		var c Cache
		for b.Loop() {
			_, _ = c.ParseSection("desk", text)
		}
	})
}
