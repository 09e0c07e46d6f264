// Package desired parses and validates the sections of the desired-state document.
// In its section, JSON with comments, each team declares the models, adapters and
// services that it needs and the priority and latency targets of each class of
// requests.
package desired

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

// Section is the part of the desired-state document that one team declares.
type Section struct {
	Team     string    `json:"team"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	// ChecksFencing lists the IDs of the engines that reject orders with an older
	// fencing token.
	ChecksFencing []string `json:"checks_fencing"`
}

// Model is one model with the version that clients are to be served.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// MemoryMB is the memory of the weights on an engine, in MiB.
	MemoryMB uint64 `json:"memory_mb"`
	// HeadroomMB is the memory reserved for the KV cache, in MiB.
	HeadroomMB uint64    `json:"headroom_mb"`
	Replicas   int       `json:"replicas"`
	Adapters   []Adapter `json:"adapters"`
}

// Adapter is an adapter of a model, with its own small set of weights.
type Adapter struct {
	Name     string `json:"name"`
	Version  string `json:"version"`
	MemoryMB uint64 `json:"memory_mb"`
}

// Service is a plain service, to which requests are routed by path prefix.
type Service struct {
	Name string `json:"name"`
	// Path is the path prefix that clients use, such as /ledger/.
	Path string `json:"path"`
	// NonIdempotent lists the calls that must be executed at most once.
	NonIdempotent []Call `json:"non_idempotent"`
}

// Call is a method and an exact path of a service.
type Call struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Class is a class of requests with its latency targets and priority.
type Class struct {
	Name string `json:"name"`
	// FirstTokenMS and BetweenTokensMS are the targets for the time to the first
	// token and between tokens, in milliseconds.
	FirstTokenMS    int64 `json:"first_token_ms"`
	BetweenTokensMS int64 `json:"between_tokens_ms"`
	// FinishBy is the local time of day, as 15:04, by which requests of a deferred
	// class must be finished. It excludes FirstTokenMS.
	FinishBy string `json:"finish_by"`
	// Priority orders the classes: a class with a lower number is served first.
	Priority int32 `json:"priority"`
}

// Problem is one error in a section, with its line.
type Problem struct {
	Line   int
	Field  string
	Detail string
}

// String returns the problem as line, field and detail.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Detail)
}

// Parse parses and validates a section. It returns either the section or the
// problems found.
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

// lineOf returns the line in a syntax error of hujson, or 1 if it has none.
func lineOf(err error) int {
	line := 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1
	}
	return line
}

// ParseSection is like Parse, but returns the problems as one fail.BadDocument
// error.
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

// offsetOf returns the offset of a value of a wrong type, or 0 for other errors.
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

// ValidName reports whether s is a valid name of a team, model, adapter, service or
// class, or a valid version.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// FullName returns the name that clients use for a model of the team.
func FullName(team, model string) string { return team + "/" + model }

// FinishTime returns the next deadline of the class at or after now. It returns
// false if the class is not deferred.
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
