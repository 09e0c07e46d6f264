// Package settings reads the settings files of the programs: JSON with
// comments, checked whole at start with every problem listed at once.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"parsleyramp/internal/fail"
)

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON parses a duration string.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fail.New(fail.BadSettings, `a duration is a string such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fail.Wrap(err, fail.BadSettings, "duration")
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// redacted stands for a secret wherever one would be printed.
const redacted = "(secret)"

// Secret is a text that must not be printed or logged.
type Secret string

// String returns a stand-in for the secret.
func (Secret) String() string { return redacted }

// GoString returns a stand-in for the secret.
func (Secret) GoString() string { return redacted }

// MarshalJSON writes a stand-in for the secret.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Reveal returns the secret itself.
func (s Secret) Reveal() string { return string(s) }

// Problem is one field that is not as it must be.
type Problem struct {
	Field   string
	Allowed string
}

// Checker collects problems while a settings value is checked.
type Checker struct {
	problems []Problem
}

// Require records a problem with the field unless ok holds.
func (c *Checker) Require(ok bool, field, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Allowed: allowed})
	}
}

// Address requires an IPv4 address and a port by number.
func (c *Checker) Address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	c.Require(err == nil && a.Addr().Is4(), field, "an IPv4 address and port by number, such as 127.0.0.1:7000")
}

// Positive requires a duration above zero.
func (c *Checker) Positive(field string, d Duration) {
	c.Require(d > 0, field, "a duration above zero")
}

// Problems returns what was found so far.
func (c *Checker) Problems() []Problem { return c.problems }

// Checked is a settings value that can check itself.
type Checked interface {
	Check(c *Checker)
}

// Load reads the file into value, which holds the defaults, and checks it.
// The error lists every problem with file and field.
func Load(path string, value Checked) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fail.Wrap(err, fail.BadSettings, "read settings")
	}
	return Parse(path, text, value)
}

// Parse is Load for a text that was read already; name stands for the file.
func Parse(name string, text []byte, value Checked) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return fail.Wrap(err, fail.BadSettings, name)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fail.Wrap(err, fail.BadSettings, name)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fail.New(fail.BadSettings, name+": text after the settings value")
	}
	var c Checker
	value.Check(&c)
	if len(c.problems) == 0 {
		return nil
	}
	lines := make([]string, len(c.problems))
	for i, p := range c.problems {
		lines[i] = fmt.Sprintf("%s: %s: allowed is %s", name, p.Field, p.Allowed)
	}
	return fail.New(fail.BadSettings, strings.Join(lines, "\n"))
}
