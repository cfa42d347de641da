// Package quota enforces resource limits and guarantees of groups whose work is spread over
// several controllers. A grant needs no write to a store.
//
// A group is a set of teams and of other groups. It has a limit on what its tasks may use
// together and, within the limit of its parent, a guarantee. The work is divided into
// shards. Each shard has one owner at a time: the only controller that starts its tasks.
//
// The limit of a group is divided into allowances, one for each shard (escrow). An owner
// grants from the allowance of its shard without asking any other controller. All
// allowances of a group are stored in one record in a store that the program provides, and
// change by conditional writes of that record. An owner uses an increased allowance only
// after the write has been confirmed, and a reduced one from the moment that it sends the
// write. The sum of the allowances never grows beyond the limit.
//
// Beside the allowance of its shard, each owner publishes a claim: what the shard uses and
// wants, and how much of that is guaranteed. From the claims, Divide computes the fair
// share of each shard in the limit, guaranteed claims first. Owners move their allowances
// towards the fair shares. Claims only affect how a limit is divided. Whether a limit is
// kept depends neither on claims nor on clocks.
//
// Every change of a limit or of a definition begins a new epoch of the group. A limit is
// announced once it is stored in the record. It is in force once every shard has a row in
// the record and the sum of the allowances is within the limit. A lowered limit does not
// stop running tasks, but an owner that has seen the new epoch grants no more than the fair
// share of its shard. Tasks are stopped only for a guaranteed claim of another shard that
// has waited for Timing.ReclaimDelay.
//
// Ledger is the state machine of one controller. Step takes the time and one input, and
// returns the writes and reads to carry out. It does no I/O, reads no clock and starts no
// goroutine. Ledger.Sync carries out the writes and reads of Step on a Store.
package quota
