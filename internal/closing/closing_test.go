package closing

import (
	"strings"
	"testing"
	"time"
)

const valid = `{
  // The counter's own section.
  "team": "counter",
  "models": [{"name": "purity", "version": "1", "memory_mb": 10, "adapters": [{"name": "kandy", "version": "1", "memory_mb": 1}]}],
  "services": [{"name": "ledger", "path": "/ledger/", "non_idempotent": [{"method": "POST", "path": "/ledger/payouts"}]}],
  "classes": [{"name": "counter", "first_token_ms": 690}, {"name": "overnight", "finish_by": "06:00"}],
}`

func TestParseValidSection(t *testing.T) {
	s, problems := Parse([]byte(valid))
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	if s.Team != "counter" || len(s.Models[0].Adapters) != 1 || len(s.Classes) != 2 {
		t.Fatalf("section: %+v", s)
	}
}

func TestParseNamesLineAndField(t *testing.T) {
	tests := []struct {
		name, old, new, field string
		line                  int
	}{
		{"bad team", `"team": "counter"`, `"team": "Counter"`, "/team", 3},
		{"no memory", `"memory_mb": 10`, `"memory_mb": 0`, "/models/0/memory_mb", 4},
		{"bad adapter", `"name": "kandy"`, `"name": ""`, "/models/0/adapters/0/name", 4},
		{"reserved path", `"path": "/ledger/"`, `"path": "/v1/x/"`, "/services/0/path", 5},
		{"foreign call", `"path": "/ledger/payouts"`, `"path": "/other"`, "/services/0/non_idempotent/0/path", 5},
		{"no target", `"first_token_ms": 690`, `"first_token_ms": 0`, "/classes/0/first_token_ms", 6},
		{"bad time", `"06:00"`, `"25:00"`, "/classes/1/finish_by", 6},
		{"unknown field", `"team"`, `"tema"`, "section", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problems := Parse([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			for _, p := range problems {
				if p.Field == tt.field && p.Line == tt.line {
					return
				}
			}
			t.Fatalf("want a problem with %s on line %d, got %v", tt.field, tt.line, problems)
		})
	}
}

func TestFinishTimeIsTheNextOne(t *testing.T) {
	c := Class{FinishBy: "06:00"}
	evening := time.Date(2026, 12, 31, 22, 0, 0, 0, time.UTC)
	got, ok := c.FinishTime(evening)
	if want := time.Date(2027, 1, 1, 6, 0, 0, 0, time.UTC); !ok || !got.Equal(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
