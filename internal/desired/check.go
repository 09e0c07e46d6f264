package desired

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// lineIndex returns the line of a value by its JSON pointer.
type lineIndex struct {
	text  []byte
	value hujson.Value
}

func newLineIndex(text []byte) (lineIndex, error) {
	v, err := hujson.Parse(text)
	return lineIndex{text: text, value: v}, err
}

func (l lineIndex) line(pointer string) int {
	v := l.value.Find(pointer)
	if v == nil {
		return 1
	}
	return lineAt(l.text, int64(v.StartOffset))
}

// checker collects the problems of a section. The details are stored by control
// replicas, so a change of their wording makes replicas of two versions differ.
type checker struct {
	lines    lineIndex
	problems []Problem
}

func (c *checker) require(ok bool, pointer, detail string) {
	if !ok {
		c.problems = append(c.problems, Problem{Line: c.lines.line(pointer), Field: pointer, Detail: detail})
	}
}

const nameRule = "must be 1 to 63 characters of a-z, 0-9, dot, underscore or hyphen, and begin with a letter or digit"

func (c *checker) name(pointer, name string, seen map[string]bool) {
	c.require(ValidName(name), pointer, nameRule)
	c.require(!seen[name], pointer, fmt.Sprintf("%q is declared twice", name))
	seen[name] = true
}

func (c *checker) section(s *Section) {
	c.require(ValidName(s.Team), "/team", nameRule)
	c.require(len(s.Models) <= MaxModels, "/models", fmt.Sprintf("more than %d models", MaxModels))
	models := map[string]bool{}
	adapters := 0
	for i := range s.Models {
		c.model(fmt.Sprintf("/models/%d", i), &s.Models[i], models)
		adapters += len(s.Models[i].Adapters)
	}
	c.require(adapters <= MaxAdapters, "/models", fmt.Sprintf("more than %d adapters", MaxAdapters))
	services, paths := map[string]bool{}, map[string]bool{}
	for i := range s.Services {
		c.service(fmt.Sprintf("/services/%d", i), &s.Services[i], services, paths)
	}
	c.require(len(s.Services) <= MaxServices, "/services", fmt.Sprintf("more than %d services", MaxServices))
	c.require(len(s.Classes) <= MaxClasses, "/classes", fmt.Sprintf("more than %d classes", MaxClasses))
	classes := map[string]bool{}
	for i := range s.Classes {
		c.class(fmt.Sprintf("/classes/%d", i), &s.Classes[i], classes)
	}
}

func (c *checker) model(pointer string, m *Model, seen map[string]bool) {
	c.name(pointer+"/name", m.Name, seen)
	c.require(ValidName(m.Version), pointer+"/version", nameRule)
	c.memory(pointer+"/memory_mb", m.MemoryMB)
	c.require(m.HeadroomMB <= MaxMemoryMB, pointer+"/headroom_mb", memoryRule)
	c.require(m.Replicas >= 0, pointer+"/replicas", "must not be negative")
	adapters := map[string]bool{}
	for i, a := range m.Adapters {
		p := fmt.Sprintf("%s/adapters/%d", pointer, i)
		c.name(p+"/name", a.Name, adapters)
		c.require(ValidName(a.Version), p+"/version", nameRule)
		c.memory(p+"/memory_mb", a.MemoryMB)
	}
}

var memoryRule = fmt.Sprintf("must be %d at most", MaxMemoryMB)

func (c *checker) memory(pointer string, mb uint64) {
	c.require(mb > 0, pointer, "must be above zero")
	c.require(mb <= MaxMemoryMB, pointer, memoryRule)
}

var reservedPaths = []string{"/v1/", "/healthz", "/readyz", "/metrics"}

func (c *checker) service(pointer string, s *Service, seen, paths map[string]bool) {
	c.name(pointer+"/name", s.Name, seen)
	c.require(len(s.Path) > 2 && strings.HasPrefix(s.Path, "/") && strings.HasSuffix(s.Path, "/"), pointer+"/path", "must begin and end with a slash")
	c.require(!paths[s.Path], pointer+"/path", "is declared twice")
	paths[s.Path] = true
	for _, r := range reservedPaths {
		c.require(!strings.HasPrefix(s.Path, r), pointer+"/path", "must not be under "+r)
	}
	for i, call := range s.NonIdempotent {
		p := fmt.Sprintf("%s/non_idempotent/%d", pointer, i)
		c.require(call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch || call.Method == http.MethodDelete, p+"/method", "must be POST, PUT, PATCH or DELETE")
		c.require(strings.HasPrefix(call.Path, s.Path), p+"/path", "must be under the service's path")
	}
}

func (c *checker) class(pointer string, cl *Class, seen map[string]bool) {
	c.name(pointer+"/name", cl.Name, seen)
	c.require(cl.FirstTokenMS >= 0, pointer+"/first_token_ms", "must not be negative")
	c.require(cl.BetweenTokensMS >= 0, pointer+"/between_tokens_ms", "must not be negative")
	if cl.FinishBy != "" {
		_, err := time.Parse("15:04", cl.FinishBy)
		c.require(err == nil, pointer+"/finish_by", "must be a time of day such as 06:00")
		c.require(cl.FirstTokenMS == 0, pointer+"/first_token_ms", "cannot stand beside finish_by")
		return
	}
	c.require(cl.FirstTokenMS > 0, pointer+"/first_token_ms", "must be above zero, or finish_by must be given")
}
