package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/tailscale/hujson"

	"parsleyramp/internal/control"
	"parsleyramp/internal/entry"
	"parsleyramp/internal/fleetcontrol"
	"parsleyramp/internal/gateway"
	"parsleyramp/internal/settings"
)

// programSettings is a program with the type of its settings.
type programSettings struct {
	name string
	// newDefault returns a new value with the defaults.
	newDefault func() settings.Checked
}

var programs = []programSettings{
	{"control", func() settings.Checked { s := control.DefaultSettings(); return &s }},
	{"entry", func() settings.Checked { s := entry.DefaultSettings(); return &s }},
	{"gateway", func() settings.Checked { s := gateway.DefaultSettings(); return &s }},
	{"fleet", func() settings.Checked { s := fleetcontrol.DefaultSettings(); return &s }},
}

// defaultsOf sets out[path] to the default, encoded as JSON, of every field of v.
func defaultsOf(v reflect.Value, prefix string, out map[string]string) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("json")
		field := v.Field(i)
		if field.Kind() == reflect.Struct {
			defaultsOf(field, name+".", out)
			continue
		}
		data, _ := json.Marshal(field.Interface())
		out[name] = string(data)
	}
}

func (p programSettings) defaults() map[string]string {
	out := map[string]string{}
	defaultsOf(reflect.ValueOf(p.newDefault()).Elem(), "", out)
	return out
}

var (
	fieldLine = regexp.MustCompile(`^\s*"([a-z_]+)":`)
	noDefault = map[string]bool{"null": true, `""`: true, "0": true}
)

// documentedDefaults returns, by field path, the default that the comment above
// each field states: a value, "Required." or "undocumented". Fields without any
// other comment are left out.
func documentedDefaults(text string) map[string]string {
	out := map[string]string{}
	prefix, current, described := "", "", false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if comment, ok := strings.CutPrefix(line, "// "); ok {
			if value, ok := strings.CutPrefix(comment, "Default: "); ok || comment == "Required." {
				current = comment
				if ok {
					current = strings.TrimSuffix(value, ".")
				}
				continue
			}
			described = true
			continue
		}
		if m := fieldLine.FindStringSubmatch(line); m != nil {
			if strings.HasSuffix(line, "{") {
				prefix = m[1] + "."
			} else if described {
				out[prefix+m[1]] = current
			}
		}
		if strings.HasPrefix(line, "}") {
			prefix = ""
		}
		current, described = "undocumented", false
	}
	return out
}

func TestExamplesShowEveryFieldWithItsDefault(t *testing.T) {
	for _, p := range programs {
		files, err := filepath.Glob("../../examples/settings/*-" + p.name + ".jsonc")
		if err != nil || len(files) != 2 {
			t.Fatalf("examples of %s: %v %v, want one for each deployment", p.name, files, err)
		}
		for _, file := range files {
			t.Run(filepath.Base(file), func(t *testing.T) { checkExample(t, p, file) })
		}
	}
}

func checkExample(t *testing.T, p programSettings, file string) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.Parse(file, text, p.newDefault()); err != nil {
		t.Fatalf("the example is not valid: %v", err)
	}
	documented := documentedDefaults(string(text))
	for name, value := range p.defaults() {
		got, ok := documented[name]
		switch required := isRequired(t, p, text, name); {
		case !ok:
			t.Errorf("%s is missing or has no comment", name)
		case required && got != "Required.":
			t.Errorf("%s is required, but its comment says %q", name, got)
		case !required && got != value:
			t.Errorf("the default of %s is %s, but its comment says %q", name, value, got)
		}
		delete(documented, name)
	}
	for name := range documented {
		t.Errorf("%s is documented, but the program has no such field", name)
	}
}

// isRequired reports whether the program rejects the example without the field.
func isRequired(t *testing.T, p programSettings, text []byte, name string) bool {
	t.Helper()
	plain, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]any
	if err := json.Unmarshal(plain, &object); err != nil {
		t.Fatal(err)
	}
	path := strings.Split(name, ".")
	inner := object
	if len(path) == 2 {
		inner, _ = object[path[0]].(map[string]any)
	}
	delete(inner, path[len(path)-1])
	without, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return settings.Parse("example", without, p.newDefault()) != nil
}

// TestSettingsPageListsEveryField checks that the operators' page lists exactly
// the fields of each program, with their defaults.
func TestSettingsPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range programs {
		_, section, _ := strings.Cut(string(page), "## parsleyramp-"+p.name+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		rows := map[string]string{}
		for line := range strings.Lines(section) {
			if cells := strings.Split(line, "|"); len(cells) == 5 && strings.Contains(cells[1], "`") {
				rows[strings.Trim(cells[1], " `")] = strings.Trim(cells[2], " `")
			}
		}
		for name, value := range p.defaults() {
			if noDefault[value] && rows[name] == "required" {
				value = "required"
			}
			if got, ok := rows[name]; !ok || got != value {
				t.Errorf("%s: settings.md must list %s with default %s, but has %q", p.name, name, value, got)
			}
			delete(rows, name)
		}
		for name := range rows {
			t.Errorf("%s: settings.md lists %s, which the program does not have", p.name, name)
		}
	}
}

func TestParseRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown field", `{"id": "a", "hartbeat": "1s"}`, "hartbeat"},
		{"number as duration", `{"heartbeat": 5}`, "250ms"},
		{"text after the value", `{} {}`, "after"},
		{"several problems", `{"heartbeat": "-1s", "max_attempts": 0}`, "heartbeat: allowed is"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := entry.DefaultSettings()
			err := settings.Parse("file.jsonc", []byte(c.text), &cfg)
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "file.jsonc") {
				t.Fatalf("the error does not name the file and the problem: %v", err)
			}
		})
	}
	cfg := entry.DefaultSettings()
	cfg.Heartbeat, cfg.MaxAttempts = 0, 0
	err := settings.Parse("file.jsonc", []byte(`{}`), &cfg)
	for _, field := range []string{"id", "caller_address", "peer_address", "domain", "control", "heartbeat", "max_attempts"} {
		if !strings.Contains(fmt.Sprint(err), ": "+field+": ") {
			t.Errorf("the error does not name %s: %v", field, err)
		}
	}
}
