package admission

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	testHorizon = 100 * units.Second
	testCPUs    = 100 // guaranteed to each of the test teams
)

func cpus(n float64) Amounts { return Amounts{CPU: units.AmountOf(n)} }

// testTeams are teams with the same guarantee, whose limit is the whole fleet.
func testTeams(names ...string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i] = Team{Name: name, Guarantee: cpus(testCPUs), Limit: cpus(float64(testCPUs * len(names)))}
	}
	return teams
}

func testJob(n int, team, class string, tasks int, seconds float64) *protocol.JobSpec {
	return &protocol.JobSpec{
		ID:       fmt.Sprintf("j-%06d", n),
		Team:     team,
		Class:    class,
		Tasks:    tasks,
		Request:  units.Resources{CPU: units.AmountOf(1)},
		Estimate: units.Seconds(seconds),
	}
}

// fleet is a leader's admission with a fleet that works off what was admitted, each team
// at the same rate as long as it has work.
type fleet struct {
	options     Options
	teams       []Team
	keeper      *Keeper
	planner     *Planner
	waiting     *WaitingList
	corrections *Corrections
	now         units.Micros
	version     uint64
	revision    uint64
	backlog     map[Cell]Work
	admitted    map[Cell]Work
	jobs        map[string]int // admitted jobs by team and class
	capacity    Amounts
}

func newFleet(options Options, teams []Team) *fleet {
	f := &fleet{
		options: options, teams: teams, now: units.Second,
		keeper: NewKeeper(options, teams, 1), planner: NewPlanner(options, teams, nil, 0),
		waiting: NewWaitingList(), corrections: NewCorrections(),
		backlog: map[Cell]Work{}, admitted: map[Cell]Work{}, jobs: map[string]int{},
	}
	for _, team := range teams {
		f.capacity[CPU] += team.Guarantee[CPU]
	}
	f.publish()
	return f
}

func (f *fleet) measure() Measurement {
	f.waiting.Expire(f.now)
	m := Measurement{Now: f.now, Fleet: f.capacity, Waiting: f.waiting.Demand(), Corrections: f.corrections.Snapshot()}
	for cell, work := range f.backlog {
		m.Loads = append(m.Loads, Load{Cell: cell, Work: work})
	}
	return m
}

func (f *fleet) publish() *Plan {
	f.version++
	f.revision++
	proposal := f.planner.Next(f.version, 1, f.measure())
	f.planner.Accept(proposal)
	held := Held{Plan: proposal.Plan, Revision: f.revision, WrittenAfter: f.now, WrittenBefore: f.now}
	if err := f.keeper.Adopt(held); err != nil {
		panic(err)
	}
	return proposal.Plan
}

// offer asks for a job once.
func (f *fleet) offer(job *protocol.JobSpec) Decision {
	d, _ := f.keeper.Decide(job, Leading, f.now)
	if d.Verdict != Admit {
		f.waiting.Add(job.ID, d, f.now)
		return d
	}
	f.waiting.Remove(job.ID)
	f.backlog[d.Cell] += d.Cost
	f.admitted[d.Cell] += d.Cost
	f.jobs[job.Team+"/"+job.Class]++
	return d
}

// pass lets time go by: teams with work share the fleet evenly.
func (f *fleet) pass(d units.Micros) {
	f.now += d
	claims := make([]Claim, len(f.teams))
	for i, team := range f.teams {
		for cell, work := range f.backlog {
			if cell.Team == team.Name {
				claims[i].Demand += work
			}
		}
		claims[i].Weight = 1
	}
	for i, done := range Divide(WorkOf(1, f.capacity[CPU], d), claims) {
		for cell, work := range f.backlog {
			if cell.Team == f.teams[i].Name && claims[i].Demand > 0 {
				f.backlog[cell] -= Work(float64(done) * float64(work) / float64(claims[i].Demand))
			}
		}
	}
}

// admittedBy is the work that was admitted of a team.
func (f *fleet) admittedBy(team string) Work {
	var sum Work
	for cell, work := range f.admitted {
		if cell.Team == team {
			sum += work
		}
	}
	return sum
}

// user submits a job until it is admitted, or for as long as users do.
type user struct {
	job   *protocol.JobSpec
	next  units.Micros
	until units.Micros
	over  bool
}

const userPatience = 60 * units.Second

// load plays users that come at times of their own, with plans every half second, and
// gives the number of users that gave up, by team.
func (f *fleet) load(users []*user, until units.Micros) map[string]int {
	gaveUp := map[string]int{}
	const step = 100 * units.Millisecond
	for ; f.now < until; f.pass(step) {
		if f.now%(5*step) == 0 {
			f.publish()
		}
		for _, u := range users {
			if u.over || f.now < u.next {
				continue
			}
			d := f.offer(u.job)
			u.next = f.now + d.RetryAfter
			switch {
			case d.Verdict == Admit:
				u.over = true
			case u.next > u.until:
				u.over = true
				gaveUp[u.job.Team]++
			}
		}
	}
	return gaveUp
}

// arrivals makes users whose jobs come evenly over a time.
func arrivals(jobs []*protocol.JobSpec, from, until units.Micros) []*user {
	users := make([]*user, len(jobs))
	for i, job := range jobs {
		at := from + (until-from)*units.Micros(i)/units.Micros(len(jobs))
		users[i] = &user{job: job, next: at, until: at + userPatience}
	}
	return users
}

func jobsOf(first, count int, team, class string, tasks int, seconds float64) []*protocol.JobSpec {
	jobs := make([]*protocol.JobSpec, count)
	for i := range jobs {
		jobs[i] = testJob(first+i, team, class, tasks, seconds)
	}
	return jobs
}
