// Package admission decides which new jobs are accepted while more work is submitted than
// the fleet can do.
//
// The leader measures demand and backlog. It divides the work of the next minutes among
// teams, classes and size bands by weighted max-min fairness, and publishes the outcome as a
// Plan: one versioned record in the key-value store that every controller follows. Whether a
// job is admitted is a pure function of a plan and the job (Plan.Decide), so all controllers
// with the same version of the plan give the same answer. A job is accepted by a
// compare-and-swap on the version of the plan's record, so the version that is current at the
// commit decides.
//
// A Planner makes plans. A PlanStore holds the plan in force on one controller and accounts
// for what may be admitted under one version of it. A WaitingList holds, on the leader, the
// jobs whose users were told to retry later, and EstimateCorrections learns how far the run
// time estimates of teams are off.
//
// The package has no I/O, no clock and no goroutines: records, times and measurements are
// passed in.
package admission
