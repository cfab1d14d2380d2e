// Package federation hands whole jobs over between cells: clusters that each have
// controllers, a key-value store and machines of their own, and that share no store.
//
// A job belongs to the cell that accepted it, its origin. A transfer hands it to another
// cell, the target, in steps: the origin records an intent and asks for a reservation; the
// target records one; the origin commits; the target accepts, and starts tasks only under
// a lease that the origin grants. Every message may be lost, duplicated or delayed by any
// time, and either cell may be partitioned or change its leader at any step. Then:
//
//   - Tasks of a job never run in two cells at once: the target runs them under the lease,
//     and the origin starts them again only when the target has durably refused the
//     transfer, or once the lease and the grace period within which the target stops the
//     tasks have expired for certain, clock drift included.
//   - A job is restarted, in whichever cell, no more often than its class allows. When the
//     last permitted run begins at the target, its grant is unbounded: the target goes on
//     without renewals, and the origin waits for it.
//   - A completed task known to either cell stays completed.
//   - No transfer ends without the job being done, cancelled, or back at its origin.
//
// OriginRecord and TargetRecord are the two state machines. They do no I/O and read no
// clock: each event returns a Decision. Manager carries decisions out under one leader of a
// cell's leader, over the interfaces Store, Transport and Scheduler. Config is the cells
// file; Config.ChooseTarget decides which job goes where.
//
// Whoever carries decisions out keeps three rules: a decision's record is written by a
// compare-and-swap on the version that it was made from, before its messages are sent and
// before anything else is done on account of it; messages are decided on only while the
// leader lease is held; a record that cannot be read blocks its job and is never replaced.
package federation
