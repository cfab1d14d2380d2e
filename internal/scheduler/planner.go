package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Placement starts Count of a job's tasks on a machine. Job and Machine are indexes in
// Snapshot.Jobs and Snapshot.Machines, here and in the other decisions.
type Placement struct{ Job, Machine, Count int }

// Preemption stops a task to free capacity for a job. Victim is the Victim.Ref of the task.
type Preemption struct{ Victim, Job int }

// Reservation reserves a machine's free capacity for a job, so that it accumulates until a
// task of the job fits.
type Reservation struct{ Machine, Job int }

// Decisions is the result of Plan.
type Decisions struct {
	Placements   []Placement
	Preemptions  []Preemption
	Reservations []Reservation
	Truncated    bool // MaxPlacements was reached before all jobs were considered
}

// planner holds the state of one call of Plan. It modifies the views of its snapshot.
type planner struct {
	snapshot             *Snapshot
	decisions            Decisions
	placementsLeft       int
	preempted            map[int]bool      // chosen victims, by Ref
	usageAfterPreemption []units.Resources // usage without the chosen victims, by team

	candidates       []candidate             // buffer of rankCandidates
	victimsByMachine [][]Victim              // cache of victimsOnMachine
	victimsByTeam    map[int][]machineVictim // cache of victimsInTeam
	capacityFreeing  bool                    // tasks are being stopped on some machine
}

// Plan decides which tasks to start and which to stop. It takes the jobs in scheduling order,
// places as many tasks of each as fit, preempts victims for the rest where that is allowed,
// and reserves machines for starved jobs and for urgent jobs that await completions. It
// modifies the snapshot.
func Plan(snapshot *Snapshot) Decisions {
	p := newPlanner(snapshot)
	for _, i := range p.jobOrder() {
		if p.placementsLeft <= 0 {
			p.decisions.Truncated = true
			break
		}
		if job := &snapshot.Jobs[i]; !snapshot.Teams[job.Team].Blocked {
			p.planJob(i, job)
		}
	}
	return p.decisions
}

func newPlanner(snapshot *Snapshot) *planner {
	p := &planner{
		snapshot:             snapshot,
		placementsLeft:       snapshot.MaxPlacements,
		preempted:            map[int]bool{},
		usageAfterPreemption: make([]units.Resources, len(snapshot.Teams)),
	}
	for i := range snapshot.Teams {
		p.usageAfterPreemption[i] = snapshot.Teams[i].Used
	}
	for i := range snapshot.Machines {
		p.capacityFreeing = p.capacityFreeing || snapshot.Machines[i].Freeing != units.Resources{}
	}
	return p
}

// planJob places as many of a job's tasks as fit, and preempts victims or reserves machines for
// the rest where that is allowed. jobIndex is the job's index in Snapshot.Jobs, as in the
// other methods of planner.
func (p *planner) planJob(jobIndex int, job *JobView) {
	switch {
	case job.Spec.Kind == protocol.Gang:
		p.placeGang(jobIndex, job)
		return
	case job.Starved:
		p.planStarved(jobIndex, job)
		return
	}
	p.place(jobIndex, job)
	if job.Pending == 0 {
		return
	}
	p.blockFullTeam(job)
	p.preempt(jobIndex, job)
	if job.AwaitsCompletions && job.urgent() {
		p.reserve(jobIndex, job, job.Pending)
	}
}

// planStarved plans only one task of a starved job. That task precedes all other jobs; the
// rest of the job is planned in later cycles, in the order of a job that is not starved.
func (p *planner) planStarved(jobIndex int, job *JobView) {
	rest := job.Pending - 1
	job.Pending = 1
	p.place(jobIndex, job)
	p.blockFullTeam(job)
	if job.Pending > 0 {
		p.preempt(jobIndex, job)
		p.reserve(jobIndex, job, 1)
	}
	job.Pending += rest
}

// blockFullTeam blocks the team's later jobs in this cycle if not one more task of the job fits
// into the team's quota limit. Otherwise smaller tasks would keep using up the remaining quota,
// and a larger task would never fit. If it does not fit beside the team's services either, which do
// not complete, blocking the others would be of no use to the job and could last for ever.
func (p *planner) blockFullTeam(job *JobView) {
	team := &p.snapshot.Teams[job.Team]
	fitsBesideServices := team.QuotaLimit.Plus(team.Services, -1).CountFitting(job.Spec.Request) > 0
	team.Blocked = p.tasksWithinQuota(job) == 0 && fitsBesideServices
}
