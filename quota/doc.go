// Package quota enforces resource limits and guarantees of groups whose work is spread over
// several controllers, without a write for each grant.
//
// A group is a set of teams and of other groups, with a limit on what its tasks may use
// together and, within the limit of its parent, a guarantee. The work is divided into
// shards; each shard has one owner at a time, a controller, which alone starts its tasks.
//
// The limit of a group is divided into allowances, one for each shard (escrow). An owner
// grants from the allowance of its shard without asking anybody. All allowances of a group
// stand in one record in a store that the program provides, and change by conditional
// writes of it: an increase counts once its write is confirmed, a reduction from the
// moment that its write is sent. Their sum never grows beyond the limit.
//
// Beside its allowance each owner publishes a claim: what its shard uses and wants, and
// which part of that is guaranteed. From the claims Divide computes the part of the limit
// that each shard should have, guaranteed claims first. Owners move their allowances
// towards these parts. Claims steer; no limit depends on them, nor on any clock.
//
// Every change of a limit or of a definition begins a new epoch of the group. A limit is
// announced once it stands in the record. It is in force once every shard has a row in
// the record and the sum of the allowances is within the limit. Nothing that is in use is
// given up for a lowered limit, but an owner that has seen the epoch grants no more than its
// part. Only a guaranteed claim that has waited for some time has tasks of others stopped.
//
// Ledger is the state machine of one controller: Step takes the time and one input and
// returns what to write and read. It does no I/O, reads no clock and starts no goroutine.
// Ledger.Sync drives it over a Store.
package quota
