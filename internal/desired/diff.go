package desired

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the kind of change of an item of a section.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two sections.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Item is the kind and name of the item, such as "model purity" or
	// "adapter purity:kandy".
	Item string `json:"item"`
	// Detail holds the old and the new fields of a changed item.
	Detail string `json:"detail,omitempty"`
}

// String returns the change as a line.
func (c Change) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", c.Kind, c.Item, c.Detail))
}

// Diff returns the changes from one section to another, sorted by item. A nil
// section has no items.
func Diff(old, next *Section) []Change {
	before, after := itemsOf(old), itemsOf(next)
	var out []Change
	for item, oldFields := range before {
		newFields, exists := after[item]
		switch {
		case !exists:
			out = append(out, Change{Kind: Removed, Item: item})
		case newFields != oldFields:
			out = append(out, Change{Kind: Changed, Item: item, Detail: oldFields + " -> " + newFields})
		}
	}
	for item := range after {
		if _, exists := before[item]; !exists {
			out = append(out, Change{Kind: Added, Item: item})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Item, b.Item) })
	return out
}

// itemsOf returns the fields of every item of a section as JSON, by item.
func itemsOf(s *Section) map[string]string {
	items := map[string]string{}
	if s == nil {
		return items
	}
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			items["adapter "+m.Name+":"+a.Name] = fieldsOf(a)
		}
		m.Adapters = nil
		items["model "+m.Name] = fieldsOf(m)
	}
	for _, v := range s.Services {
		items["service "+v.Name] = fieldsOf(v)
	}
	for i, c := range s.Classes {
		// The position of a class matters: the first one is the default for requests
		// that name no class.
		items["class "+c.Name] = fmt.Sprintf("%s at %d", fieldsOf(c), i+1)
	}
	for _, id := range s.ChecksFencing {
		items["engine that checks fencing "+id] = ""
	}
	return items
}

func fieldsOf(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
