package entry

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
)

// FuzzCompletionBody parses arbitrary request bodies. An accepted body must reach
// the engine with the name of the served model and the priority of its class, and
// with all other fields unchanged.
func FuzzCompletionBody(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		var fields completionFields
		if json.Unmarshal(body, &fields) != nil || fields.Model == "" {
			return
		}
		m := &model{team: "desk", name: "desk/note", adapter: "kandy@1"}
		j, err := newCompletionJob("/v1/completions", fields.Model, m, body)
		if err != nil {
			if !fail.Is(err, fail.BadRequest) {
				t.Fatalf("got error %v, want one with the code of a bad request", err)
			}
			return
		}
		j.template.Priority = 7
		var in, out map[string]json.RawMessage
		if err := json.Unmarshal(body, &in); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(j.body(target{version: "2"}), &out); err != nil {
			t.Fatalf("the body for the engine is not a JSON object: %v", err)
		}
		served, _ := json.Marshal(endpoint.ServedName("desk/note", "2", "kandy@1"))
		if !bytes.Equal(out["model"], served) || string(out["priority"]) != "7" {
			t.Fatalf("got model %s and priority %s, want the served name and 7", out["model"], out["priority"])
		}
		for key, value := range in {
			if key != "model" && key != "priority" && !sameJSON(value, out[key]) {
				t.Fatalf("%q was %s and became %s", key, value, out[key])
			}
		}
	})
}

// sameJSON compares two values without regard to white space and escapes.
func sameJSON(a, b []byte) bool {
	decode := func(text []byte) (v any, err error) {
		d := json.NewDecoder(bytes.NewReader(text))
		// Numbers are compared as text, because a float64 cannot represent all of them.
		d.UseNumber()
		err = d.Decode(&v)
		return v, err
	}
	x, errX := decode(a)
	y, errY := decode(b)
	return errX == nil && errY == nil && reflect.DeepEqual(x, y)
}
