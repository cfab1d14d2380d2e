package scheduler

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Snapshot is all that a round of decisions looks at. Planning is a pure
// function of it: no clock, no input or output, no chance.
type Snapshot struct {
	Teams         []TeamView
	Machines      []MachineView
	Jobs          []JobView
	MaxPlacements int  // the most starts in this round
	Partial       bool // not all machines are in view: none is held for a job
}

// TeamView is a team's limit and what may be running for it.
type TeamView struct {
	GuaranteedQuota, QuotaLimit, Used units.Resources
	Freeing                           units.Resources // part of Used, held by tasks that were told to stop
	Blocked                           bool            // a job that goes first finds no room in the limit
}

// MachineView is a machine.
type MachineView struct {
	ID                     string
	InstanceType, Zone     string
	Spot                   bool
	Schedulable            bool // may be given work
	HeartbeatPending       bool // its report is being answered: a start reaches it now
	HalfSecondsToHeartbeat int  // a start reaches it with its next report, in so many half seconds
	Slow                   bool
	Reserved               bool // its room is kept for a job that goes before the rest
	Capacity, Free         units.Resources
	Freeing                units.Resources // held by tasks that were told to stop
	Headroom               units.Resources // part of the free room, for replicas of services alone
	FetchRate              units.Amount    // GB a second
	HasImage               func(name string) bool
	// Victims lists the tasks that could be stopped; nil if none may be. It is
	// asked once, and only if room has to be made; the list is the planner's.
	Victims func() []Victim
}

// Victim is a task that could be stopped to make room.
type Victim struct {
	Ref      int // the caller's own number for it
	Team     int
	Priority protocol.Priority
	Request  units.Resources
	LostWork units.Micros // the work that is lost by stopping it
	Job      *JobView     // what it would be planned as, once stopped
}

// JobView is a job that has pending tasks.
type JobView struct {
	Spec              *protocol.JobSpec
	Team              int
	WithinGuarantee   bool // within its team's guarantee
	MissesDeadline    bool // cannot be in time any more
	AwaitsCompletions bool // tasks that end by themselves may still make room in time
	Starved           bool // has waited too long for its first task to begin
	Rank              float64
	SubmittedAt       int64 // settles ties: the earlier submission first
	Pending           int
	LiveTasks         int            // tasks that may be on machines
	LiveByZone        map[string]int // the same by zone, for jobs that care
	LiveByMachine     map[int]int    // and by machine, for services
	Avoid             func(machine string) bool
}

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
	anyFreeing       bool                    // some machine has room coming
}

// candidate is a machine that has room for a job; the largest key goes first.
type candidate struct {
	machine int
	key     [7]int64
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
		p.anyFreeing = p.anyFreeing || s.Machines[k].Freeing != units.Resources{}
	}
	return p
}

// jobOrder gives the places of the jobs in the snapshot, the one that goes first first.
func (p *planner) jobOrder() []int {
	order := make([]int, len(p.snapshot.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareJobs(&p.snapshot.Jobs[a], &p.snapshot.Jobs[b]) })
	return order
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
		p.reserveMachines(i, j, j.Pending)
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
		p.reserveMachines(i, j, 1)
	}
	j.Pending += rest
}

// blockFullTeam keeps the jobs that come after one whose team's limit has no room for it
// from taking what is left of the limit bit by bit: a larger task would wait for ever.
func (p *planner) blockFullTeam(j *JobView) { p.snapshot.Teams[j.Team].Blocked = p.quotaRoom(j) == 0 }

func compareJobs(a, b *JobView) int {
	urgent := func(j *JobView) int {
		if j.Spec.Priority >= protocol.High {
			return int(j.Spec.Priority)
		}
		return 0
	}
	if a.Starved && b.Starved {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	}
	return cmp.Or(
		-compareBools(a.Starved, b.Starved),
		-cmp.Compare(urgent(a), urgent(b)),
		compareBools(a.MissesDeadline, b.MissesDeadline),
		-compareBools(a.WithinGuarantee, b.WithinGuarantee),
		-cmp.Compare(a.Spec.Priority, b.Spec.Priority),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.SubmittedAt, b.SubmittedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// quotaRoom is how many more tasks of the job its team's limit allows.
func (p *planner) quotaRoom(j *JobView) int {
	t := &p.snapshot.Teams[j.Team]
	return t.QuotaLimit.Plus(t.Used, -1).Fits(j.Spec.Request)
}

// freeFor is a machine's room for a job.
func (m *MachineView) freeFor(j *JobView) units.Resources {
	if j.Spec.Kind == protocol.Service || j.Starved {
		return m.Free
	}
	return m.Free.Plus(m.Headroom, -1)
}

// zoneCapacity is how many more tasks of the job may be in a zone, and whether
// the zone is allowed at all.
func zoneCapacity(j *JobView, zone string) int {
	if j.Spec.Zone != "" && j.Spec.Zone != zone {
		return 0
	}
	room := j.Spec.Tasks
	if j.Spec.ZoneSpread {
		room = (j.Spec.Tasks+1)/2 - j.LiveByZone[zone]
	}
	if j.Spec.ZoneAffinity {
		for other, n := range j.LiveByZone {
			if n > 0 && other != zone {
				return 0
			}
		}
	}
	return room
}

// PlacementAllowed tells whether a job's tasks may be on machines of this kind.
func PlacementAllowed(spec *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (spec.InstanceTypes == nil || slices.Contains(spec.InstanceTypes, typ)) &&
		(spec.Zone == "" || spec.Zone == zone) && (spec.AllowSpot || !spot)
}

// usable tells whether a job may be started on a machine, room aside. A slow
// machine gets no urgent work.
func (p *planner) usable(i int, j *JobView) bool {
	m := &p.snapshot.Machines[i]
	return m.Schedulable && !(m.Slow && j.Spec.Priority >= protocol.High) && PlacementAllowed(j.Spec, m.InstanceType, m.Zone, m.Spot) && zoneCapacity(j, m.Zone) > 0 && !j.Avoid(m.ID)
}

// place starts as many of the job's tasks as there is room for. The companion
// is the machine with room that holds the image, else the one with most room
// (DESIGN); among several that hold it, the one that reports soonest, since starts
// travel with the answers, and then the one with most room. A slow machine comes
// last.
func (p *planner) place(i int, j *JobView) {
	oneByOne := j.Spec.Kind == protocol.Service
	for again := true; again; {
		again = false
		if min(j.Pending, p.placementsLeft, p.quotaRoom(j)) <= 0 {
			return
		}
		for _, c := range p.rankCandidates(j) {
			m := &p.snapshot.Machines[c.machine]
			n := min(j.Pending, p.placementsLeft, p.quotaRoom(j), m.freeFor(j).Fits(j.Spec.Request), zoneCapacity(j, m.Zone))
			if n <= 0 {
				continue
			}
			if oneByOne { // each start changes the order of the rest
				p.placeTasks(i, j, c.machine, 1)
				again = true
				break
			}
			p.placeTasks(i, j, c.machine, n)
		}
	}
}

// rankCandidates lists the machines that have room for the job, the best
// first.
func (p *planner) rankCandidates(j *JobView) []candidate {
	p.candidates = p.candidates[:0]
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if m.Reserved || m.freeFor(j).Fits(j.Spec.Request) == 0 || !p.usable(k, j) {
			continue
		}
		c := candidate{machine: k, key: [7]int64{5: int64(m.Free.CPU), 6: -int64(m.HalfSecondsToHeartbeat)}}
		service := j.Spec.Kind == protocol.Service
		if service {
			// Replicas go to different zones, then to different machines.
			c.key[0], c.key[1] = -int64(j.LiveByZone[m.Zone]), -int64(j.LiveByMachine[k])
		}
		if !m.Slow {
			c.key[2] = 1
		}
		switch {
		case m.HasImage(j.Spec.Image):
			// Many may hold it, in a large fleet with room: the soonest reached.
			c.key[3], c.key[5], c.key[6] = 1, c.key[6], c.key[5]
		case service:
			// Each second counts: the one on which the replica is up soonest.
			c.key[5], c.key[6] = -m.startDelay(j.Spec.ImageSize), c.key[5]
		}
		if m.HeartbeatPending {
			c.key[4] = 1
		}
		p.candidates = append(p.candidates, c)
	}
	slices.SortFunc(p.candidates, func(a, b candidate) int {
		return cmp.Or(-slices.Compare(a.key[:], b.key[:]), cmp.Compare(a.machine, b.machine))
	})
	return p.candidates
}

// startDelay is when a task with an image of that size would run on the machine, in
// half seconds, image fetch included.
func (m *MachineView) startDelay(image units.Amount) int64 {
	wait := min(int64(m.HalfSecondsToHeartbeat), 1) // it is woken
	if m.FetchRate <= 0 {
		return wait
	}
	return wait + int64(2*image/m.FetchRate)
}

// reserveMachines keeps the room of some machines together for a job, or small tasks would
// go on taking it bit by bit: of the largest, where tasks end most often, those
// that have most room.
func (p *planner) reserveMachines(i int, j *JobView, n int) {
	if p.snapshot.Partial {
		return
	}
	var fit []int
	for k := range p.snapshot.Machines {
		m := &p.snapshot.Machines[k]
		if !m.Reserved && m.Capacity.Fits(j.Spec.Request) > 0 && m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request) == 0 && p.usable(k, j) {
			fit = append(fit, k)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int {
		x, y := &p.snapshot.Machines[a], &p.snapshot.Machines[b]
		return cmp.Or(-cmp.Compare(x.Capacity.CPU, y.Capacity.CPU), -cmp.Compare(x.Free.CPU, y.Free.CPU))
	})
	for _, k := range fit[:min(len(fit), n, p.quotaRoom(j))] {
		p.snapshot.Machines[k].Reserved = true
		p.decisions.Reservations = append(p.decisions.Reservations, Reservation{Machine: k, Job: i})
	}
}

// placeGang starts all of a gang's tasks or none. While some of its tasks may
// still be on machines, the rest waits for them to end.
func (p *planner) placeGang(i int, j *JobView) {
	if j.LiveTasks > 0 || p.quotaRoom(j) < j.Pending {
		return
	}
	machines, pending, batch, starts := slices.Clone(p.snapshot.Machines), j.Pending, p.placementsLeft, len(p.decisions.Placements)
	used, leave := p.snapshot.Teams[j.Team].Used, p.usageAfterPreemption[j.Team]
	p.placementsLeft = max(p.placementsLeft, pending)
	p.place(i, j)
	if j.Pending == 0 {
		return
	}
	copy(p.snapshot.Machines, machines)
	j.Pending, p.placementsLeft, p.decisions.Placements = pending, batch, p.decisions.Placements[:starts]
	p.snapshot.Teams[j.Team].Used, p.usageAfterPreemption[j.Team] = used, leave
	clear(j.LiveByZone)
}

func (p *planner) placeTasks(i int, j *JobView, machine, n int) {
	m := &p.snapshot.Machines[machine]
	m.Free = m.Free.Plus(j.Spec.Request, -n)
	t := &p.snapshot.Teams[j.Team]
	t.Used = t.Used.Plus(j.Spec.Request, n)
	p.usageAfterPreemption[j.Team] = p.usageAfterPreemption[j.Team].Plus(j.Spec.Request, n)
	if j.LiveByZone != nil {
		j.LiveByZone[m.Zone] += n
	}
	if j.LiveByMachine != nil {
		j.LiveByMachine[machine] += n
	}
	j.Pending -= n
	p.placementsLeft -= n
	p.decisions.Placements = append(p.decisions.Placements, Placement{Job: i, Machine: machine, Count: n})
}
