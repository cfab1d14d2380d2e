package coordination

import (
	"cmp"
	"slices"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// Snapshot is all that a round of decisions looks at. Planning is a pure
// function of it: no clock, no input or output, no chance.
type Snapshot struct {
	Teams    []TeamView
	Machines []MachineView
	Jobs     []JobView
	Batch    int  // the most starts in this round
	Partial  bool // not all machines are in view: none is held for a job
}

// TeamView is a team's limit and what may be running for it.
type TeamView struct {
	Guarantee, Limit, Used units.Resources
	Freeing                units.Resources // part of Used, held by tasks that were told to stop
	Closed                 bool            // a job that goes first finds no room in the limit
}

// MachineView is a machine.
type MachineView struct {
	ID         string
	Type, Zone string
	Spot       bool
	Accepts    bool // may be given work
	Answering  bool // its report is being answered: a start reaches it now
	Reports    int  // a start reaches it with its next report, in so many half seconds
	Slow       bool
	Held       bool // its room is kept for a job that goes before the rest
	Size, Free units.Resources
	Freeing    units.Resources // held by tasks that were told to stop
	Headroom   units.Resources // part of the free room, for replicas of services alone
	FetchRate  units.Amount    // GB a second
	Images     func(name string) bool
	// Victims lists the tasks that could be stopped; nil if none may be. It is
	// asked once, and only if room has to be made; the list is the planner's.
	Victims func() []Victim
}

// Victim is a task that could be stopped to make room.
type Victim struct {
	Ref      int // the caller's own number for it
	Team     int
	Priority protocol.Priority
	Need     units.Resources
	Loses    units.Micros // the work that is lost by stopping it
	Job      *JobView     // what it would be planned as, once stopped
}

// JobView is a job that has pending tasks.
type JobView struct {
	Spec       *protocol.JobSpec
	Team       int
	Guaranteed bool // within its team's guarantee
	Late       bool // cannot be in time any more
	Patient    bool // tasks that end by themselves may still make room in time
	Overdue    bool // has waited too long for its first task to begin
	Rank       float64
	Order      int64 // settles ties: the earlier submission first
	Pending    int
	Live       int            // tasks that may be on machines
	LiveIn     map[string]int // the same by zone, for jobs that care
	LiveOn     map[int]int    // and by machine, for services
	Avoid      func(machine string) bool
}

// Starts is a number of a job's tasks to be started on a machine.
type Starts struct{ Job, Machine, Count int }

// Preemption stops a victim (Victim.Ref) to make room for a job.
type Preemption struct{ Victim, For int }

// Hold keeps a machine's free room together for a job, until a task of the job
// fits.
type Hold struct{ Machine, For int }

// Wanted is the outcome of a round.
type Wanted struct {
	Starts []Starts
	Stops  []Preemption
	Holds  []Hold
	Cut    bool // the batch ended the round: more might have been started
}

// planner is a round in the making. It changes its copies of the views.
type planner struct {
	s     *Snapshot
	out   Wanted
	batch int
	taken map[int]bool      // victims chosen
	leave []units.Resources // what each team has left once its victims are gone

	companions []companion
	victims    [][]Victim        // by machine, once asked
	ofTeam     map[int][]located // by team, once asked
	freeing    bool              // some machine has room coming
}

// companion is a machine that has room for a job; the largest key goes first.
type companion struct {
	machine int
	key     [7]int64
}

// Plan decides what to start and what to stop. The first task of a job that has
// waited too long goes before everything: under a long overload the order alone
// would leave some jobs waiting for ever. The urgent priorities go first then.
// Of the others, what can still be in time goes before what is late anyway,
// whatever their priority; then jobs inside their team's guarantee, then by
// priority, then by rank.
func Plan(s *Snapshot) Wanted {
	p := newPlanner(s)
	for _, i := range p.order() {
		if p.batch <= 0 {
			p.out.Cut = true
			break
		}
		if j := &s.Jobs[i]; !s.Teams[j.Team].Closed {
			p.planJob(i, j)
		}
	}
	return p.out
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		s:     s,
		batch: s.Batch,
		taken: map[int]bool{},
		leave: make([]units.Resources, len(s.Teams)),
	}
	for i := range s.Teams {
		p.leave[i] = s.Teams[i].Used
	}
	for k := range s.Machines {
		p.freeing = p.freeing || s.Machines[k].Freeing != units.Resources{}
	}
	return p
}

// order gives the places of the jobs in the snapshot, the one that goes first first.
func (p *planner) order() []int {
	order := make([]int, len(p.s.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareJobs(&p.s.Jobs[a], &p.s.Jobs[b]) })
	return order
}

// planJob starts what it can of a job, and makes room for the rest where that is allowed.
func (p *planner) planJob(i int, j *JobView) {
	switch {
	case j.Spec.Kind == protocol.Gang:
		p.placeGang(i, j)
		return
	case j.Overdue:
		p.planOverdue(i, j)
		return
	}
	p.place(i, j)
	if j.Pending == 0 {
		return
	}
	p.closeFullTeam(j)
	p.preempt(i, j)
	if j.Patient && j.Spec.Priority >= protocol.High {
		p.hold(i, j, j.Pending)
	}
}

// planOverdue has one task of a job that has waited too long go before everything; the
// rest goes in its turn.
func (p *planner) planOverdue(i int, j *JobView) {
	rest := j.Pending - 1
	j.Pending = 1
	p.place(i, j)
	p.closeFullTeam(j)
	if j.Pending > 0 {
		p.preempt(i, j)
		p.hold(i, j, 1)
	}
	j.Pending += rest
}

// closeFullTeam keeps the jobs that come after one whose team's limit has no room for it
// from taking what is left of the limit bit by bit: a larger task would wait for ever.
func (p *planner) closeFullTeam(j *JobView) { p.s.Teams[j.Team].Closed = p.teamRoom(j) == 0 }

func compareJobs(a, b *JobView) int {
	urgent := func(j *JobView) int {
		if j.Spec.Priority >= protocol.High {
			return int(j.Spec.Priority)
		}
		return 0
	}
	if a.Overdue && b.Overdue {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Spec.ID, b.Spec.ID))
	}
	return cmp.Or(
		-compareBools(a.Overdue, b.Overdue),
		-cmp.Compare(urgent(a), urgent(b)),
		compareBools(a.Late, b.Late),
		-compareBools(a.Guaranteed, b.Guaranteed),
		-cmp.Compare(a.Spec.Priority, b.Spec.Priority),
		cmp.Compare(a.Rank, b.Rank),
		cmp.Compare(a.Order, b.Order),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// teamRoom is how many more tasks of the job its team's limit allows.
func (p *planner) teamRoom(j *JobView) int {
	t := &p.s.Teams[j.Team]
	return t.Limit.Plus(t.Used, -1).Fits(j.Spec.Request)
}

// freeFor is a machine's room for a job.
func (m *MachineView) freeFor(j *JobView) units.Resources {
	if j.Spec.Kind == protocol.Service || j.Overdue {
		return m.Free
	}
	return m.Free.Plus(m.Headroom, -1)
}

// zoneRoom is how many more tasks of the job may be in a zone, and whether
// the zone is allowed at all.
func zoneRoom(j *JobView, zone string) int {
	if j.Spec.Zone != "" && j.Spec.Zone != zone {
		return 0
	}
	room := j.Spec.Tasks
	if j.Spec.ZoneSpread {
		room = (j.Spec.Tasks+1)/2 - j.LiveIn[zone]
	}
	if j.Spec.ZoneAffinity {
		for other, n := range j.LiveIn {
			if n > 0 && other != zone {
				return 0
			}
		}
	}
	return room
}

// allowed tells whether a job's tasks may be on machines of this kind.
func allowed(spec *protocol.JobSpec, typ, zone string, spot bool) bool {
	return (spec.InstanceTypes == nil || slices.Contains(spec.InstanceTypes, typ)) &&
		(spec.Zone == "" || spec.Zone == zone) && (spec.AllowSpot || !spot)
}

// usable tells whether a job may be started on a machine, room aside. A slow
// machine gets no urgent work.
func (p *planner) usable(i int, j *JobView) bool {
	m := &p.s.Machines[i]
	return m.Accepts && !(m.Slow && j.Spec.Priority >= protocol.High) && allowed(j.Spec, m.Type, m.Zone, m.Spot) && zoneRoom(j, m.Zone) > 0 && !j.Avoid(m.ID)
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
		if min(j.Pending, p.batch, p.teamRoom(j)) <= 0 {
			return
		}
		for _, c := range p.findCompanions(j) {
			m := &p.s.Machines[c.machine]
			n := min(j.Pending, p.batch, p.teamRoom(j), m.freeFor(j).Fits(j.Spec.Request), zoneRoom(j, m.Zone))
			if n <= 0 {
				continue
			}
			if oneByOne { // each start changes the order of the rest
				p.start(i, j, c.machine, 1)
				again = true
				break
			}
			p.start(i, j, c.machine, n)
		}
	}
}

// findCompanions lists the machines that have room for the job, the best
// first.
func (p *planner) findCompanions(j *JobView) []companion {
	p.companions = p.companions[:0]
	for k := range p.s.Machines {
		m := &p.s.Machines[k]
		if m.Held || m.freeFor(j).Fits(j.Spec.Request) == 0 || !p.usable(k, j) {
			continue
		}
		c := companion{machine: k, key: [7]int64{5: int64(m.Free.CPU), 6: -int64(m.Reports)}}
		service := j.Spec.Kind == protocol.Service
		if service {
			// Replicas go to different zones, then to different machines.
			c.key[0], c.key[1] = -int64(j.LiveIn[m.Zone]), -int64(j.LiveOn[k])
		}
		if !m.Slow {
			c.key[2] = 1
		}
		switch {
		case m.Images(j.Spec.Image):
			// Many may hold it, in a large fleet with room: the soonest reached.
			c.key[3], c.key[5], c.key[6] = 1, c.key[6], c.key[5]
		case service:
			// Each second counts: the one on which the replica is up soonest.
			c.key[5], c.key[6] = -m.upIn(j.Spec.ImageSize), c.key[5]
		}
		if m.Answering {
			c.key[4] = 1
		}
		p.companions = append(p.companions, c)
	}
	slices.SortFunc(p.companions, func(a, b companion) int {
		return cmp.Or(-slices.Compare(a.key[:], b.key[:]), cmp.Compare(a.machine, b.machine))
	})
	return p.companions
}

// upIn is when a task with an image of that size would run on the machine, in
// half seconds, image fetch included.
func (m *MachineView) upIn(image units.Amount) int64 {
	wait := min(int64(m.Reports), 1) // it is woken
	if m.FetchRate <= 0 {
		return wait
	}
	return wait + int64(2*image/m.FetchRate)
}

// hold keeps the room of some machines together for a job, or small tasks would
// go on taking it bit by bit: of the largest, where tasks end most often, those
// that have most room.
func (p *planner) hold(i int, j *JobView, n int) {
	if p.s.Partial {
		return
	}
	var fit []int
	for k := range p.s.Machines {
		m := &p.s.Machines[k]
		if !m.Held && m.Size.Fits(j.Spec.Request) > 0 && m.freeFor(j).Plus(m.Freeing, 1).Fits(j.Spec.Request) == 0 && p.usable(k, j) {
			fit = append(fit, k)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int {
		x, y := &p.s.Machines[a], &p.s.Machines[b]
		return cmp.Or(-cmp.Compare(x.Size.CPU, y.Size.CPU), -cmp.Compare(x.Free.CPU, y.Free.CPU))
	})
	for _, k := range fit[:min(len(fit), n, p.teamRoom(j))] {
		p.s.Machines[k].Held = true
		p.out.Holds = append(p.out.Holds, Hold{Machine: k, For: i})
	}
}

// placeGang starts all of a gang's tasks or none. While some of its tasks may
// still be on machines, the rest waits for them to end.
func (p *planner) placeGang(i int, j *JobView) {
	if j.Live > 0 || p.teamRoom(j) < j.Pending {
		return
	}
	machines, pending, batch, starts := slices.Clone(p.s.Machines), j.Pending, p.batch, len(p.out.Starts)
	used, leave := p.s.Teams[j.Team].Used, p.leave[j.Team]
	p.batch = max(p.batch, pending)
	p.place(i, j)
	if j.Pending == 0 {
		return
	}
	copy(p.s.Machines, machines)
	j.Pending, p.batch, p.out.Starts = pending, batch, p.out.Starts[:starts]
	p.s.Teams[j.Team].Used, p.leave[j.Team] = used, leave
	clear(j.LiveIn)
}

func (p *planner) start(i int, j *JobView, machine, n int) {
	m := &p.s.Machines[machine]
	m.Free = m.Free.Plus(j.Spec.Request, -n)
	t := &p.s.Teams[j.Team]
	t.Used = t.Used.Plus(j.Spec.Request, n)
	p.leave[j.Team] = p.leave[j.Team].Plus(j.Spec.Request, n)
	if j.LiveIn != nil {
		j.LiveIn[m.Zone] += n
	}
	if j.LiveOn != nil {
		j.LiveOn[machine] += n
	}
	j.Pending -= n
	p.batch -= n
	p.out.Starts = append(p.out.Starts, Starts{Job: i, Machine: machine, Count: n})
}
