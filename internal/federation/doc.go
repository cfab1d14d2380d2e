// Package federation transfers whole jobs between cells. A cell is one cluster of a
// federation: it has its own controllers, key-value store and machines, and shares no storage
// with other cells.
//
// A job belongs to the cell that accepted it, its origin. A transfer moves the job to
// another cell, the target, in these steps: the origin records its intent and requests a
// reservation; the target records the reservation; the origin commits; the target accepts,
// and runs tasks only under a lease that the origin grants. Messages may be lost, duplicated
// or delayed without limit, and either cell may be partitioned or change its leader at any
// step. Under these faults the protocol guarantees:
//
//   - Tasks of a job never run in two cells at once. The target runs them under the lease. The
//     origin starts them again only after the target has durably refused the transfer, or
//     after the lease and the grace period in which the target stops the tasks have expired
//     with the maximum clock drift taken into account.
//   - A job is not restarted more often than its class allows, counted over all cells. A run
//     of the job at the target ends when its lease expires or the target changes its leader,
//     and each run after the first counts as a restart. The grant for the last permitted run
//     is unbounded: the target continues without renewals, and the origin waits for its result.
//   - A task that either cell knows to be completed stays completed.
//   - A transfer ends only with the job done, cancelled, or returned to its origin.
//
// OriginRecord and TargetRecord are the two state machines. They do no I/O and read no
// clock: each event returns a Decision. Manager executes decisions on behalf of one leader of
// a cell, through the interfaces Store, Transport and Scheduler. Config is the checked cells
// file; Config.ChooseTarget selects the target cell of a job.
//
// Code that executes decisions must follow three rules:
//
//   - The record of a decision is written by a compare-and-swap on the version that the
//     decision was based on, before its messages are sent and before any other effect.
//   - Messages are processed only while the leader lease is held.
//   - A record that cannot be decoded blocks its job and is never overwritten.
package federation
