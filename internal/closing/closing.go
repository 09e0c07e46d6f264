// Package closing reads and checks the sections of the closing document: JSON
// with comments in which each team states the models, adapters and services
// that its work needs and how urgent each class of request is.
package closing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"parsleyramp/internal/fail"
)

// Limits of one section.
const (
	MaxSectionBytes = 1 << 20
	MaxModels       = 1000
	MaxAdapters     = 10000
	MaxServices     = 1000
	MaxClasses      = 100
	// MaxMemoryMB bounds one model or adapter, in MiB.
	MaxMemoryMB = 1 << 24
)

// Section is what one team declares.
type Section struct {
	Team     string    `json:"team"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	// ChecksFencing names the engines that refuse an older fencing number.
	ChecksFencing []string `json:"checks_fencing"`
}

// Model is one model with the version that callers are to reach.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// MemoryMB is what the weights take on an engine, in MiB.
	MemoryMB uint64 `json:"memory_mb"`
	// HeadroomMB is reserved beside the weights for KV cache, in MiB.
	HeadroomMB uint64    `json:"headroom_mb"`
	Replicas   int       `json:"replicas"`
	Adapters   []Adapter `json:"adapters"`
}

// Adapter is a small addition to a model's weights.
type Adapter struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	MemoryMB uint64 `json:"memory_mb"`
}

// Service is a plain service that requests are routed to by path prefix.
type Service struct {
	Name string `json:"name"`
	// Path is the prefix that callers use, such as /ledger/.
	Path string `json:"path"`
	// NonIdempotent lists the calls that must run at most once.
	NonIdempotent []Call `json:"non_idempotent"`
}

// Call is a method and an exact path of a service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Class is how urgent one kind of request is.
type Class struct {
	Name string `json:"name"`
	// FirstTokenMS and BetweenTokensMS are targets in milliseconds.
	FirstTokenMS    int64 `json:"first_token_ms"`
	BetweenTokensMS int64 `json:"between_tokens_ms"`
	// FinishBy is a local time of day as 15:04; such work is done overnight.
	FinishBy string `json:"finish_by"`
	// Priority orders classes: a lower number goes first.
	Priority int32 `json:"priority"`
}

// Problem is one mistake in a section, with the line it is on.
type Problem struct {
	Line   int
	Field  string
	Detail string
}

// String returns the problem as line, field and detail.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Detail)
}

// Parse reads a section and returns every problem found in it.
func Parse(text []byte) (*Section, []Problem) {
	if len(text) > MaxSectionBytes {
		return nil, problemAt(1, fmt.Sprintf("has %d bytes, more than %d", len(text), MaxSectionBytes))
	}
	lines, err := newLineIndex(text)
	if err != nil {
		return nil, problemAt(lineOf(err), err.Error())
	}
	c := checker{lines: lines}
	c.fields("", &lines.value, reflect.TypeFor[Section]())
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, problemAt(lineOf(err), err.Error())
	}
	var s Section
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, problemAt(lineAt(plain, offsetOf(err)), err.Error())
	}
	c.section(&s)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return &s, nil
}

func problemAt(line int, detail string) []Problem {
	return []Problem{{Line: line, Field: "section", Detail: detail}}
}

// lineOf returns the line that a syntax error of hujson names.
func lineOf(err error) int {
	line := 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1
	}
	return line
}

// ParseSection is Parse with the problems as one typed error.
func ParseSection(text []byte) (*Section, error) {
	s, problems := Parse(text)
	if len(problems) == 0 {
		return s, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return nil, fail.New(fail.BadDocument, strings.Join(lines, "\n"))
}

// offsetOf returns where in the text a value of a wrong type stands.
func offsetOf(err error) int64 {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return typ.Offset
	}
	return 0
}

func lineAt(text []byte, offset int64) int {
	n := min(int(offset), len(text))
	return 1 + bytes.Count(text[:n], []byte("\n"))
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether s may name a team, model, adapter, service or class.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// FullName returns the name that callers use for a model of the team.
func FullName(team, model string) string { return team + "/" + model }

// FinishTime returns the next time at or after now at which work of the
// class must be finished.
func (c Class) FinishTime(now time.Time) (time.Time, bool) {
	at, err := time.Parse("15:04", c.FinishBy)
	if err != nil {
		return time.Time{}, false
	}
	t := time.Date(now.Year(), now.Month(), now.Day(), at.Hour(), at.Minute(), 0, 0, now.Location())
	if t.Before(now) {
		t = t.AddDate(0, 0, 1)
	}
	return t, true
}
