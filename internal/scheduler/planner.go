package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Placement starts Count of a job's tasks on a machine. Job and Machine are places in the
// snapshot, here and in the other decisions.
type Placement struct{ Job, Machine, Count int }

// Preemption stops a victim, by its Victim.Ref, to make room for a job.
type Preemption struct{ Victim, Job int }

// Reservation keeps a machine's free capacity together for a job, until a task of the job
// fits.
type Reservation struct{ Machine, Job int }

// Decisions is the outcome of a cycle.
type Decisions struct {
	Placements   []Placement
	Preemptions  []Preemption
	Reservations []Reservation
	Truncated    bool // the cycle ended at MaxPlacements: more might have been placed
}

// planner is a plan in the making. It changes the views of its snapshot.
type planner struct {
	snapshot             *Snapshot
	decisions            Decisions
	placementsLeft       int
	preempted            map[int]bool      // victims chosen, by Ref
	usageAfterPreemption []units.Resources // what each team has left once its victims are gone

	candidates       []candidate             // reused from job to job
	victimsByMachine [][]Victim              // by machine, once asked
	victimsByTeam    map[int][]machineVictim // by team, once asked
	capacityFreeing  bool                    // some machine has capacity that is about to be free
}

// Plan decides what to start and what to stop: it takes the jobs in their order, places what
// it can of each, preempts for the rest where that is allowed, and reserves machines for what
// must not wait longer.
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

// planJob places what it can of a job, and makes room for the rest where that is allowed.
// jobIndex is the job's place in the snapshot, here and below.
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

// planStarved has one task of a job that has waited too long go before everything; the
// rest goes in its turn, in later cycles.
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

// blockFullTeam keeps the jobs that come after one whose team's limit has no room for it
// from taking what is left of the limit bit by bit: a larger task would wait for ever.
func (p *planner) blockFullTeam(job *JobView) {
	p.snapshot.Teams[job.Team].Blocked = p.tasksWithinQuota(job) == 0
}
