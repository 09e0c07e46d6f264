// Package settings reads the settings files of the programs. They are JSON with
// comments and are validated as a whole at start; the error lists every problem.
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

// Duration is a time.Duration that JSON encodes as a string such as "250ms".
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

// redacted is printed in place of a secret.
const redacted = "(secret)"

// Secret is a string that is redacted when it is printed, logged or encoded.
type Secret string

// String returns the redacted form.
func (Secret) String() string { return redacted }

// GoString returns the redacted form.
func (Secret) GoString() string { return redacted }

// MarshalJSON writes the redacted form.
func (Secret) MarshalJSON() ([]byte, error) { return json.Marshal(redacted) }

// Reveal returns the plain secret.
func (s Secret) Reveal() string { return string(s) }

// Problem is a field with an invalid value. Allowed describes the valid ones.
type Problem struct {
	Field   string
	Allowed string
}

// Checker collects the problems that are found while settings are validated.
type Checker struct {
	problems []Problem
}

// Require records a problem with the field unless ok holds.
func (c *Checker) Require(ok bool, field, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Allowed: allowed})
	}
}

// Address requires a literal IPv4 address and a numeric port.
func (c *Checker) Address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	c.Require(err == nil && a.Addr().Is4(), field, "an IPv4 address with a numeric port, such as 127.0.0.1:7000")
}

// Positive requires a duration above zero.
func (c *Checker) Positive(field string, d Duration) {
	c.Require(d > 0, field, "a duration above zero")
}

// Problems returns the problems found so far.
func (c *Checker) Problems() []Problem { return c.problems }

// Checked is a settings value that can be validated: Check records its problems in c.
type Checked interface {
	Check(c *Checker)
}

// Load reads the file into value, which holds the defaults, and validates it.
// The error lists every problem with the file and the field.
func Load(path string, value Checked) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fail.Wrap(err, fail.BadSettings, "read settings")
	}
	return Parse(path, text, value)
}

// Parse is like Load for a text that has been read already. The errors name the
// file as name.
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
		return fail.New(fail.BadSettings, name+": unexpected text after the settings object")
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
