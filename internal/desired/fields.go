package desired

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// fields checks the names of the members of a value, recursively, against the JSON
// tags of a Go type. encoding/json alone would accept unknown names, names in
// another case and duplicate names.
func (c *checker) fields(pointer string, v *hujson.Value, t reflect.Type) {
	switch value := v.Value.(type) {
	case *hujson.Object:
		c.members(pointer, value, t)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return
		}
		for i := range value.Elements {
			c.fields(fmt.Sprintf("%s/%d", pointer, i), &value.Elements[i], t.Elem())
		}
	}
}

func (c *checker) members(pointer string, o *hujson.Object, t reflect.Type) {
	if t.Kind() != reflect.Struct {
		return
	}
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		line := lineAt(c.lines.text, int64(m.Name.StartOffset))
		field, ok := known[name]
		switch {
		case !ok:
			c.problems = append(c.problems, Problem{Line: line, Field: pointer + "/" + name, Detail: "unknown field"})
			continue
		case seen[name]:
			c.problems = append(c.problems, Problem{Line: line, Field: pointer + "/" + name, Detail: "is given twice"})
		}
		seen[name] = true
		c.fields(pointer+"/"+name, &m.Value, field)
	}
}
