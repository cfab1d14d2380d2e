package scheduler

import (
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Placement is a number of a job's tasks to be started on a machine.
type Placement struct{ Job, Machine, Count int }

// Preemption stops a victim (Victim.Ref) to make room for a job.
type Preemption struct{ Victim, Job int }

// Reservation keeps a machine's free room together for a job, until a task of the job
// fits.
type Reservation struct{ Machine, Job int }

// Decisions is the outcome of a round.
type Decisions struct {
	Placements   []Placement
	Preemptions  []Preemption
	Reservations []Reservation
	Truncated    bool // the batch ended the round: more might have been started
}

// planner is a round in the making. It changes its copies of the views.
type planner struct {
	snapshot             *Snapshot
	decisions            Decisions
	placementsLeft       int
	preempted            map[int]bool      // victims chosen
	usageAfterPreemption []units.Resources // what each team has left once its victims are gone

	candidates       []candidate
	victimsByMachine [][]Victim              // by machine, once asked
	victimsByTeam    map[int][]machineVictim // by team, once asked
	capacityFreeing  bool                    // some machine has room coming
}

// Plan decides what to start and what to stop. The first task of a job that has
// waited too long goes before everything: under a long overload the order alone
// would leave some jobs waiting for ever. The urgent priorities go first then.
// Of the others, what can still be in time goes before what is late anyway,
// whatever their priority; then jobs inside their team's guarantee, then by
// priority, then by rank.
func Plan(s *Snapshot) Decisions {
	p := newPlanner(s)
	for _, i := range p.jobOrder() {
		if p.placementsLeft <= 0 {
			p.decisions.Truncated = true
			break
		}
		if j := &s.Jobs[i]; !s.Teams[j.Team].Blocked {
			p.planJob(i, j)
		}
	}
	return p.decisions
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		snapshot:             s,
		placementsLeft:       s.MaxPlacements,
		preempted:            map[int]bool{},
		usageAfterPreemption: make([]units.Resources, len(s.Teams)),
	}
	for i := range s.Teams {
		p.usageAfterPreemption[i] = s.Teams[i].Used
	}
	for k := range s.Machines {
		p.capacityFreeing = p.capacityFreeing || s.Machines[k].Freeing != units.Resources{}
	}
	return p
}

// planJob starts what it can of a job, and makes room for the rest where that is allowed.
func (p *planner) planJob(i int, j *JobView) {
	switch {
	case j.Spec.Kind == protocol.Gang:
		p.placeGang(i, j)
		return
	case j.Starved:
		p.planStarved(i, j)
		return
	}
	p.place(i, j)
	if j.Pending == 0 {
		return
	}
	p.blockFullTeam(j)
	p.preempt(i, j)
	if j.AwaitsCompletions && j.Spec.Priority >= protocol.High {
		p.reserve(i, j, j.Pending)
	}
}

// planStarved has one task of a job that has waited too long go before everything; the
// rest goes in its turn.
func (p *planner) planStarved(i int, j *JobView) {
	rest := j.Pending - 1
	j.Pending = 1
	p.place(i, j)
	p.blockFullTeam(j)
	if j.Pending > 0 {
		p.preempt(i, j)
		p.reserve(i, j, 1)
	}
	j.Pending += rest
}

// blockFullTeam keeps the jobs that come after one whose team's limit has no room for it
// from taking what is left of the limit bit by bit: a larger task would wait for ever.
func (p *planner) blockFullTeam(j *JobView) {
	p.snapshot.Teams[j.Team].Blocked = p.tasksWithinQuota(j) == 0
}
