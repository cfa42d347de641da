// Package quota keeps limits and guarantees of groups that span several controllers, with
// no write for a grant.
//
// A group's limit is divided into allowances, one for each shard of the work (escrow). The
// owner of a shard grants from its allowance without asking anybody. Allowances change by
// conditional writes to one record of the group, in a store that the program provides:
// more counts once its write is confirmed, less from the moment that its write is sent.
// The sum of the allowances never passes the limit in force. A lowered limit is announced
// at once, and in force as soon as the sum is within it.
//
// Ledger is the state machine of one controller: Step takes the time and one input and
// returns what to write and read. It does no I/O, reads no clock and starts no goroutine.
package quota

import (
	"fmt"
	"math"
	"slices"
)

// epsilon is what sums of amounts may be off by.
const epsilon = 1e-6

// Amount is what tasks take, or may take, of each resource.
type Amount struct {
	CPUs float64 `cbor:"c,omitempty" json:"cpus" msgpack:"c,omitempty"`
	GPUs float64 `cbor:"g,omitempty" json:"gpus" msgpack:"g,omitempty"`
}

// Unlimited is the amount that no use exceeds.
var Unlimited = Amount{CPUs: math.Inf(1), GPUs: math.Inf(1)}

// Plus adds two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.CPUs + b.CPUs, a.GPUs + b.GPUs} }

// Minus takes b away; no part goes below zero.
func (a Amount) Minus(b Amount) Amount {
	return Amount{max(0, a.CPUs-b.CPUs), max(0, a.GPUs-b.GPUs)}
}

// Min gives the smaller part of each resource, Max the larger.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs)} }

// Max gives the larger part of each resource.
func (a Amount) Max(b Amount) Amount { return Amount{max(a.CPUs, b.CPUs), max(a.GPUs, b.GPUs)} }

// Times is the amount for that many tasks of this size.
func (a Amount) Times(n int) Amount { return Amount{a.CPUs * float64(n), a.GPUs * float64(n)} }

// Fits is how many tasks of this size find room.
func (a Amount) Fits(room Amount) int {
	n := float64(math.MaxInt32)
	if a.CPUs > 0 {
		n = min(n, (room.CPUs+epsilon)/a.CPUs)
	}
	if a.GPUs > 0 {
		n = min(n, (room.GPUs+epsilon)/a.GPUs)
	}
	return int(n)
}

// Within tells whether no part of a exceeds b.
func (a Amount) Within(b Amount) bool {
	return a.CPUs <= b.CPUs+epsilon && a.GPUs <= b.GPUs+epsilon
}

// Equal tells whether the amounts are the same but for rounding.
func (a Amount) Equal(b Amount) bool { return a.Within(b) && b.Within(a) }

// IsZero tells whether there is nothing of any resource.
func (a Amount) IsZero() bool { return a.Within(Amount{}) }

// Limit bounds each resource; one that is nil is not bounded.
type Limit struct {
	CPUs *float64 `cbor:"c,omitempty" json:"cpus,omitempty" msgpack:"c,omitempty" yaml:"cpus"`
	GPUs *float64 `cbor:"g,omitempty" json:"gpus,omitempty" msgpack:"g,omitempty" yaml:"gpus"`
}

// NewLimit bounds both resources.
func NewLimit(cpus, gpus float64) Limit { return Limit{CPUs: &cpus, GPUs: &gpus} }

// CPULimit bounds CPUs only.
func CPULimit(cpus float64) Limit { return Limit{CPUs: &cpus} }

// Amount is the most that the limit allows.
func (l Limit) Amount() Amount {
	a := Unlimited
	if l.CPUs != nil {
		a.CPUs = *l.CPUs
	}
	if l.GPUs != nil {
		a.GPUs = *l.GPUs
	}
	return a
}

// bounded leaves out of an amount what the limit does not bound.
func (l Limit) bounded(a Amount) Amount {
	if l.CPUs == nil {
		a.CPUs = 0
	}
	if l.GPUs == nil {
		a.GPUs = 0
	}
	return a
}

// Equal tells whether two limits bound alike.
func (l Limit) Equal(o Limit) bool { return l.Amount() == o.Amount() }

// Bounded tells whether any resource is bounded.
func (l Limit) Bounded() bool { return l.CPUs != nil || l.GPUs != nil }

func (l Limit) String() string {
	part := func(v *float64, unit string) string {
		if v == nil {
			return "any " + unit
		}
		return fmt.Sprintf("%g %s", *v, unit)
	}
	return part(l.CPUs, "CPUs") + ", " + part(l.GPUs, "GPUs")
}

// Definition is what operators say of a group: who is in it, and what it may take.
type Definition struct {
	Name   string   `cbor:"-"`
	Parent string   `cbor:"p,omitempty"`
	Teams  []string `cbor:"t,omitempty"`
	// Members are its teams and those of all groups within it, in order. A record says by
	// itself whom it binds: others may be read later, or not at all.
	Members   []string `cbor:"n,omitempty"`
	Guarantee Amount   `cbor:"u"`
	Limit     Limit    `cbor:"l"`
	// Scheduled: the limit follows from a schedule at present.
	Scheduled bool `cbor:"-"`
}

// sameBut tells whether two definitions are alike but for the limit.
func (d Definition) sameBut(o Definition) bool {
	return d.Parent == o.Parent && slices.Equal(d.Teams, o.Teams) && slices.Equal(d.Members, o.Members) && d.Guarantee == o.Guarantee
}

// Source says why a limit holds.
type Source string

// Sources of a limit.
const (
	FromOptions  Source = "options"
	FromSchedule Source = "schedule"
	FromOperator Source = "operator"
)

// Row is the part of one shard in a group.
type Row struct {
	Shard int `cbor:"s"`
	// Allowance is what the shard's owner may have granted at most.
	Allowance Amount `cbor:"a"`
	// Claim is what the owner wants, as of its last write.
	Claim Claim `cbor:"w"`
	// Seen is the newest epoch that the owner has taken notice of: it grants nothing
	// above that epoch's limit.
	Seen uint64 `cbor:"e,omitempty"`
}

// Record is a group's state in the store, and its only truth.
type Record struct {
	Definition `cbor:"d"`
	// Epoch rises with every change of the limit or the definition.
	Epoch uint64 `cbor:"e"`
	// Applied is the limit that was last in force; nil: none was yet, or a shard has
	// used more than its allowance, as a controller that knows no groups may.
	Applied *Limit `cbor:"f,omitempty"`
	// Override is a limit that an operator has set by hand. It counts until it is
	// cleared.
	Override *Limit `cbor:"o,omitempty"`
	Source   Source `cbor:"y"`
	// Removed: the group is in the options no more, and bounds nothing.
	Removed     bool  `cbor:"x,omitempty"`
	AnnouncedMS int64 `cbor:"m"` // time of day
	Rows        []Row `cbor:"r,omitempty"`
}

// Row gives the place of a shard's row, or -1.
func (r *Record) Row(shard int) int {
	return slices.IndexFunc(r.Rows, func(row Row) bool { return row.Shard == shard })
}

// Allowed is the sum of all allowances.
func (r *Record) Allowed() Amount {
	var sum Amount
	for _, row := range r.Rows {
		sum = sum.Plus(row.Allowance)
	}
	return sum
}

// Free is what no shard has of the limit.
func (r *Record) Free() Amount { return r.Limit.Amount().Minus(r.Allowed()) }

// Exceeded tells whether allowances sum up to more than the limit: it has been lowered,
// and is not in force yet.
func (r *Record) Exceeded() bool { return !r.Excess().IsZero() }

// Excess is by how much they do.
func (r *Record) Excess() Amount { return r.Allowed().Minus(r.Limit.Amount()) }

// Complete tells whether every shard of that many has a row. The use of one without is
// not known.
func (r *Record) Complete(shards int) bool {
	for s := range shards {
		if r.Row(s) < 0 {
			return false
		}
	}
	return true
}

// InForce tells whether the limit holds.
func (r *Record) InForce(shards int) bool { return r.Complete(shards) && !r.Exceeded() }

// settle notes the limit as in force if it is.
func (r *Record) settle(shards int) {
	if r.InForce(shards) {
		limit := r.Limit
		r.Applied = &limit
	}
}

// clone copies a record so that its rows can be changed.
func (r Record) clone() Record {
	c := r
	c.Rows = slices.Clone(r.Rows)
	c.Teams, c.Members = slices.Clone(r.Teams), slices.Clone(r.Members)
	return c
}
