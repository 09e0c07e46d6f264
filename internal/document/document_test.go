package document

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
)

func valid() *Document {
	return &Document{
		Version:  1,
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "r1", Host: "h", Prefix: "/a/", Timeout: time.Second, Split: []Share{{"s", 1}}},
			{Name: "r2", Host: "h", Prefix: "/a/b/", Timeout: time.Second, Split: []Share{{"s", 9}, {"t", 1}}},
			{Name: "r3", Host: "other", Prefix: "/a/", Timeout: time.Second, Split: []Share{{"t", 1}}},
		},
	}
}

func TestCheckNamesRouteAndField(t *testing.T) {
	if err := valid().Check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		change   func(*Document)
		contains []string
	}{
		{"no version", func(d *Document) { d.Version = 0 }, []string{"version"}},
		{"unknown service", func(d *Document) { d.Routes[1].Split[1].Service = "x" }, []string{"r2", "service", `"x"`}},
		{"duplicate host and prefix", func(d *Document) { d.Routes[1].Prefix = "/a/" }, []string{"r2", "prefix", "r1"}},
		{"no weight", func(d *Document) { d.Routes[0].Split[0].Weight = 0 }, []string{"r1", "weights"}},
		{"negative weight", func(d *Document) { d.Routes[1].Split[0].Weight = -1 }, []string{"r2", "weight"}},
		{"no timeout", func(d *Document) { d.Routes[2].Timeout = 0 }, []string{"r3", "timeout"}},
		{"no service", func(d *Document) { d.Routes[2].Split = nil }, []string{"r3", "service"}},
		{"prefix without slash", func(d *Document) { d.Routes[2].Prefix = "/a" }, []string{"r3", "prefix"}},
		{"duplicate service", func(d *Document) { d.Services[1].Name = "s" }, []string{"services", "s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := valid()
			c.change(d)
			err := d.Check()
			if !fail.Is(err, fail.BadDocument) {
				t.Fatalf("error %v, want bad_document", err)
			}
			for _, word := range c.contains {
				if !strings.Contains(err.Error(), word) {
					t.Errorf("error %q does not contain %q", err, word)
				}
			}
		})
	}
}

func TestFind(t *testing.T) {
	table := NewTable(valid())
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "r1"},
		{"h", "/a/b/x", "r2"},
		{"h", "/a/bc", "r1"},
		{"H:8080", "/a/b/", "r2"},
		{"other", "/a/b/x", "r3"},
		{"h", "/a", ""},
		{"h", "/", ""},
		{"x", "/a/b/", ""},
	} {
		got := ""
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := &valid().Routes[1]
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 0.999999).Draw(t, "draw")
		want := "s"
		if draw >= 0.9 {
			want = "t"
		}
		if got := r.Pick(draw); got != want {
			t.Fatalf("draw %v picks service %s", draw, got)
		}
	})
}
