package config

import (
	"fmt"
	"math"
	"net/netip"
)

// FieldError names a field and a value that it cannot have.
type FieldError struct {
	File  string
	Field string // full name, such as cluster.teams[0].cpus
	Value any
	Want  string // the values that it can have
}

// Error returns file, field, value and what is wanted, on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s = %v: want %s", e.File, e.Field, e.Value, e.Want)
}

// checker checks the fields of a file and keeps the error of the first bad one.
type checker struct {
	file string
	err  error
}

// require records that a field cannot have its value unless ok.
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

// requireUnique records an empty name, or one that is among those seen, to which it adds
// the name.
func (c *checker) requireUnique(field, name string, seen map[string]bool) {
	c.require(name != "" && !seen[name], field, quoted(name), "a name used once")
	seen[name] = true
}

func quoted(value string) string { return fmt.Sprintf("%q", value) }
