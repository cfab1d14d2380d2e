// Package admission decides which new jobs are accepted while more work is submitted than
// the fleet has capacity for.
//
// Jobs are classified into flows by team, class, resource and size band. The leader measures
// the demand and the backlog of each flow, divides the capacity of the fleet within a horizon
// among teams, classes and bands by weighted max-min fairness, and publishes the outcome as a
// Plan: one versioned record in the key-value store that every controller follows. Whether a
// job is admitted is a pure function of the plan and the job (Plan.Decide), so all controllers
// with the same version of the plan reach the same decision. A job is accepted by a
// compare-and-swap on the version of the plan's record, so the acceptance fails if the plan
// was replaced in the meantime.
//
// Each version of a plan carries version quotas, which bound the work that is admitted until
// the next version. A flow whose demand exceeds its share is restricted: its small jobs are
// admitted while the hash of their ID is in a window that moves around a ring, its large jobs
// in the order of a queue.
//
// A Planner makes plans. A PlanStore holds the plan in force on one controller and accounts
// for its version quotas. On the leader, a WaitingList holds the submitted jobs that are
// not admitted yet, and EstimateCorrections derives the error of each team's run time
// estimates from finished tasks.
//
// The package has no I/O, no clock and no goroutines: records, times and measurements are
// passed in.
package admission
