package desired

import (
	"fmt"
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
		t.Fatalf("got problems %v, want none", problems)
	}
	if s.Team != "counter" || len(s.Models[0].Adapters) != 1 || len(s.Classes) != 2 {
		t.Fatalf("got section %+v, want team counter with 1 adapter and 2 classes", s)
	}
}

func TestParseReportsLineAndField(t *testing.T) {
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
		{"unknown field", `"team"`, `"tema"`, "/tema", 3},
		{"too much memory", `"memory_mb": 10`, `"memory_mb": 18446744073709551615`, "/models/0/memory_mb", 4},
		{"field in another case", `"services"`, `"Services"`, "/Services", 5},
		{"field given twice", `"version": "1", "memory_mb": 10`, `"memory_mb": 1, "memory_mb": 10, "version": "1"`, "/models/0/memory_mb", 4},
		{"wrong type", `"memory_mb": 10`, `"memory_mb": "10"`, "section", 4},
		{"broken JSON", `"classes": [`, `"classes": [[`, "section", 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(valid, tt.old, tt.new, 1)
			_, problems := Parse([]byte(text))
			for _, p := range problems {
				if p.Field == tt.field && p.Line == tt.line {
					return
				}
			}
			t.Fatalf("want a problem with %s on line %d, got %v", tt.field, tt.line, problems)
		})
	}
}

func TestFinishTimeIsNextOccurrence(t *testing.T) {
	c := Class{FinishBy: "06:00"}
	evening := time.Date(2026, 12, 31, 22, 0, 0, 0, time.UTC)
	got, ok := c.FinishTime(evening)
	if want := time.Date(2027, 1, 1, 6, 0, 0, 0, time.UTC); !ok || !got.Equal(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// The name of the unknown field also appears in a comment and as a value, which
// must not be reported as its line.
func TestUnknownFieldLineIgnoresOtherOccurrences(t *testing.T) {
	text := "{ // \"tier\" is not known\n\"team\": \"tier\",\n\"classes\": [{\"name\": \"tier\", \"first_token_ms\": 1,\n\"tier\": 1}]}"
	_, problems := Parse([]byte(text))
	if len(problems) != 1 || problems[0].Line != 4 || problems[0].Field != "/classes/0/tier" {
		t.Fatalf("got problems %v, want one with /classes/0/tier on line 4", problems)
	}
}

func TestParseRejectsOversizedSection(t *testing.T) {
	if _, problems := Parse([]byte(valid + strings.Repeat(" ", MaxSectionBytes))); len(problems) != 1 {
		t.Fatalf("got problems %v, want one", problems)
	}
	models := make([]string, MaxModels+1)
	for i := range models {
		models[i] = fmt.Sprintf(`{"name": "m%d", "version": "1", "memory_mb": 1}`, i)
	}
	_, problems := Parse([]byte(`{"team": "t", "models": [` + strings.Join(models, ",") + `]}`))
	if len(problems) != 1 || problems[0].Field != "/models" {
		t.Fatalf("got problems %v, want one with /models", problems)
	}
}

func TestDiffReportsEveryChange(t *testing.T) {
	old, _ := Parse([]byte(valid))
	next, problems := Parse([]byte(strings.NewReplacer(`"memory_mb": 10`, `"memory_mb": 20`, `"name": "kandy"`, `"name": "colombo"`).Replace(valid)))
	if len(problems) > 0 {
		t.Fatalf("got problems %v, want none", problems)
	}
	var got []string
	for _, c := range Diff(old, next) {
		got = append(got, string(c.Kind)+" "+c.Item)
	}
	want := "added adapter purity:colombo, removed adapter purity:kandy, changed model purity"
	if strings.Join(got, ", ") != want {
		t.Fatalf("got %v, want %s", got, want)
	}
	if len(Diff(old, old)) != 0 || len(Diff(nil, old)) != 5 {
		t.Fatalf("diff of equal sections: %v, want none; diff from no section: %v, want 5 changes", Diff(old, old), Diff(nil, old))
	}
}
