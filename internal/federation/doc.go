// Package federation moves whole jobs between cells: fleets that each have controllers, a
// state service and machines of their own, and that share no store. It decides, without
// I/O: a caller stores the records that it returns, sends its messages and passes in the
// time.
//
// A job belongs to the cell that accepted it, its origin. A transfer hands it to another
// cell, the target, in steps: the origin records an intent and asks for a reservation; the
// target records one; the origin commits; the target accepts, and starts tasks only under a
// grant of the origin. Every message may be lost, doubled or late by any time, and either
// cell may be cut off or change its leader at any step. Then:
//
//   - Tasks of a job never run in two cells at once: the target runs them under a lease that
//     the origin grants, and the origin starts them again only when the target has durably
//     refused the transfer, or once the lease and the time within which the target stops
//     them have passed for certain, drift of the clocks included.
//   - A job is begun anew, in whichever cell, no more often than its class allows. When the
//     last permitted run begins at the target, its grant is unbounded: the target goes on
//     without the origin, and the origin waits for it.
//   - A completed task known to either cell stays completed.
//   - No transfer ends without the job being done, cancelled, or back at its origin.
//
// The rules that a caller keeps: a decision's record is stored, on condition of the version
// that it was made from, before its messages are sent and before anything else is done by
// it; messages are decided on under a valid fleet lease; a record that cannot be read
// stops the job, it is never replaced.
package federation
