package quota

import "slices"

// Definition is what operators configure for a group: its members, its guarantee and its
// limit.
type Definition struct {
	Name   string   `cbor:"-"`
	Parent string   `cbor:"p,omitempty"`
	Teams  []string `cbor:"t,omitempty"`
	// Members are the teams of the group and of all groups within it, sorted. A record lists
	// all teams that it binds, since a controller may read the records of other groups later or
	// not at all.
	Members   []string `cbor:"n,omitempty"`
	Guarantee Amount   `cbor:"u"`
	Limit     Limit    `cbor:"l"`
	// Scheduled is set while Limit comes from a schedule.
	Scheduled bool `cbor:"-"`
}

// equalExceptLimit reports whether two definitions are equal apart from their limits.
func (d Definition) equalExceptLimit(o Definition) bool {
	return d.Parent == o.Parent &&
		slices.Equal(d.Teams, o.Teams) &&
		slices.Equal(d.Members, o.Members) &&
		d.Guarantee == o.Guarantee
}

// Source tells where a limit comes from.
type Source string

// Sources of a limit.
const (
	FromOptions  Source = "options"
	FromSchedule Source = "schedule"
	FromOperator Source = "operator"
)

// Row is the part of a group's record that belongs to one shard.
type Row struct {
	Shard int `cbor:"s"`
	// Allowance is the most that the shard's tasks may use.
	Allowance Amount `cbor:"a"`
	// Claim is what the shard's owner claimed at the last write of the row.
	Claim Claim `cbor:"w"`
	// SeenEpoch is the latest epoch that the owner has seen. The owner grants nothing above the
	// limit of that epoch.
	SeenEpoch uint64 `cbor:"e,omitempty"`
}

// Record is the state of a group in the store.
type Record struct {
	Definition `cbor:"d"`
	// Epoch increases with every change of the limit or the definition.
	Epoch uint64 `cbor:"e"`
	// LastInForce is the limit that was last in force. It is nil if none has been in force since
	// the rows were dropped, since a shard registered a use that exceeds the free quota, or since
	// a shard used more than its allowance, as an owner of a release without groups may let it.
	LastInForce *Limit `cbor:"f,omitempty"`
	// Override is a limit that an operator has set. It takes precedence over the options until
	// it is cleared. It is nil if there is none.
	Override *Limit `cbor:"o,omitempty"`
	Source   Source `cbor:"y"`
	// Removed is set for a group that is no longer in the options. It bounds nothing.
	Removed bool `cbor:"x,omitempty"`
	// AnnouncedMS is when the epoch began: the time of day at the controller that wrote it, in
	// milliseconds since 1970.
	AnnouncedMS int64 `cbor:"m"`
	Rows        []Row `cbor:"r,omitempty"`
}

// RowIndex returns the index in Rows of a shard's row, or -1 if there is none.
func (r *Record) RowIndex(shard int) int {
	return slices.IndexFunc(r.Rows, func(row Row) bool { return row.Shard == shard })
}

// allowance returns the allowance of a shard. ok is false if the shard has no row.
func (r *Record) allowance(shard int) (allowance Amount, ok bool) {
	i := r.RowIndex(shard)
	if i < 0 {
		return Amount{}, false
	}
	return r.Rows[i].Allowance, true
}

// TotalAllowance returns the sum of all allowances.
func (r *Record) TotalAllowance() Amount {
	var sum Amount
	for _, row := range r.Rows {
		sum = sum.Plus(row.Allowance)
	}
	return sum
}

// Free returns the part of the limit that is in no allowance.
func (r *Record) Free() Amount { return r.Limit.Amount().Minus(r.TotalAllowance()) }

// Exceeded reports whether the sum of the allowances exceeds the limit, as it may after the
// limit has been lowered. The limit is not in force then.
func (r *Record) Exceeded() bool { return !r.Excess().IsZero() }

// Excess returns by how much the sum of the allowances exceeds the limit.
func (r *Record) Excess() Amount { return r.TotalAllowance().Minus(r.Limit.Amount()) }

// Complete reports whether each of the given number of shards has a row. What a shard
// without a row uses is not known.
func (r *Record) Complete(shards int) bool {
	for s := range shards {
		if r.RowIndex(s) < 0 {
			return false
		}
	}
	return true
}

// InForce reports whether the limit is in force in a cluster with the given number of shards.
func (r *Record) InForce(shards int) bool { return r.Complete(shards) && !r.Exceeded() }

// updateLastInForce sets LastInForce to the limit if the limit is in force.
func (r *Record) updateLastInForce(shards int) {
	if r.InForce(shards) {
		limit := r.Limit
		r.LastInForce = &limit
	}
}

// dropRows removes all rows. The use of each shard must be registered again before the limit
// can be in force.
func (r *Record) dropRows() { r.Rows, r.LastInForce = nil, nil }

// setLimit sets the limit and begins a new epoch. If the limit bounds a resource that the old
// one did not, it drops all rows: earlier grants of that resource have not been checked
// against any allowance.
func (r *Record) setLimit(limit Limit, source Source) {
	if limit.boundsNewResource(r.Limit) {
		r.dropRows()
	}
	r.Limit = limit
	r.Source = source
	r.Epoch++
}

// clone returns a copy that shares no Rows, Teams or Members with the original.
func (r Record) clone() Record {
	c := r
	c.Rows = slices.Clone(r.Rows)
	c.Teams = slices.Clone(r.Teams)
	c.Members = slices.Clone(r.Members)
	return c
}
