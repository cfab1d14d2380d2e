// Package admission decides which new jobs are accepted while more work is offered than
// the fleet can do.
//
// The leader measures demand and backlog, divides the work of the next minutes among
// teams, classes and sizes by weighted max-min fairness, and publishes the outcome as a
// Plan: one versioned record of the state service that every controller follows. Whether
// a job is admitted is a pure function of a plan and the job (Plan.Decide), so all
// controllers with the same version of the plan give the same answer about it. Jobs are
// accepted by commits that are conditional on the plan's record, so the version that is
// current at the commit decides.
//
// A Planner makes plans, a Keeper holds the plan in force on one controller, and a
// WaitingList remembers, on the leader, who was told to come back.
package admission
