package config

import (
	"fmt"
	"math"
	"net/netip"
)

// FieldError reports a field with an invalid value.
type FieldError struct {
	File  string
	Field string // full path, such as cluster.teams[0].cpus
	Value any
	Want  string // description of the valid values
}

// Error returns the file, the field, its value and the valid values on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s = %v: want %s", e.File, e.Field, e.Value, e.Want)
}

// checker validates the fields of a file and keeps the error of the first invalid one.
type checker struct {
	file string
	err  error
}

// require records an error for the field if ok is false and no error was recorded before.
func (c *checker) require(ok bool, field string, value any, want string) {
	if !ok && c.err == nil {
		c.err = &FieldError{File: c.file, Field: field, Value: value, Want: want}
	}
}

func (c *checker) requireNotNegative(field string, value float64) {
	c.require(value >= 0 && !math.IsInf(value, 0), field, value, "a finite number of at least 0")
}

func (c *checker) requirePositive(field string, value float64) {
	c.require(value > 0 && !math.IsInf(value, 0), field, value, "a finite number above 0")
}

func (c *checker) requireAddress(field, value string) {
	addr, err := netip.ParseAddrPort(value)
	c.require(err == nil && addr.Port() != 0, field, quoted(value), "an IP address with a port")
}

// requireUnique records an error if the name is empty or already in seen. It adds the name
// to seen.
func (c *checker) requireUnique(field, name string, seen map[string]bool) {
	c.require(name != "" && !seen[name], field, quoted(name), "a name used once")
	seen[name] = true
}

func quoted(value string) string { return fmt.Sprintf("%q", value) }
