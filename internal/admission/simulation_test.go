package admission

import (
	"fmt"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	testHorizon = 100 * units.Second
	testCPUs    = 100 // guaranteed quota of each test team
)

// cpus returns an amount of CPUs and no GPUs.
func cpus(n float64) Amounts { return Amounts{CPU: units.AmountOf(n)} }

// testTeams returns teams with equal guaranteed quotas and the whole fleet as quota limit.
func testTeams(names ...string) []Team {
	teams := make([]Team, len(names))
	for i, name := range names {
		teams[i] = Team{Name: name, GuaranteedQuota: cpus(testCPUs), QuotaLimit: cpus(float64(testCPUs * len(names)))}
	}
	return teams
}

// testJob returns a job whose tasks request one CPU each and run for the given seconds.
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

// fataler is implemented by *testing.T, *testing.B, *testing.F and *rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// simulation simulates the admission of a leader and a fleet that does the admitted work, at the
// same rate for each team with a backlog.
type simulation struct {
	t           fataler
	teams       []Team
	plans       *PlanStore
	planner     *Planner
	waiting     *WaitingList
	corrections *EstimateCorrections
	now         units.Micros
	version     uint64
	revision    uint64
	backlog     map[Flow]Work
	admitted    map[Flow]Work
	jobs        map[string]int // admitted jobs by team and class
	capacity    Amounts
}

// newSimulation returns a simulation in which a first plan is in force.
func newSimulation(t fataler, options Options, teams []Team) *simulation {
	t.Helper()
	s := &simulation{
		t:           t,
		teams:       teams,
		plans:       NewPlanStore(options, teams, 1),
		planner:     NewPlanner(options, teams, nil, 0),
		waiting:     NewWaitingList(),
		corrections: NewEstimateCorrections(),
		now:         units.Second,
		backlog:     map[Flow]Work{},
		admitted:    map[Flow]Work{},
		jobs:        map[string]int{},
	}
	for _, team := range teams {
		s.capacity[CPU] += team.GuaranteedQuota[CPU]
	}
	s.publishPlan()
	return s
}

// measure returns the input of the next plan.
func (s *simulation) measure() Measurement {
	s.waiting.Expire(s.now)
	m := Measurement{Now: s.now, FleetCapacity: s.capacity, Waiting: s.waiting.Demand(), EstimateCorrections: s.corrections.Snapshot()}
	for flow, work := range s.backlog {
		m.Backlog = append(m.Backlog, FlowBacklog{Flow: flow, Work: work})
	}
	return m
}

// publishPlan makes the next plan and puts it into force.
func (s *simulation) publishPlan() *Plan {
	s.t.Helper()
	s.version++
	s.revision++
	proposal := s.planner.Next(s.version, 1, s.measure())
	s.planner.Accept(proposal)
	observed := ObservedPlan{Plan: proposal.Plan, Revision: s.revision, WrittenAfter: s.now, WrittenBefore: s.now}
	if err := s.plans.Update(observed); err != nil {
		s.t.Fatal(err)
	}
	return proposal.Plan
}

// submit requests the admission of a job once.
func (s *simulation) submit(job *protocol.JobSpec) Decision {
	d, _ := s.plans.Decide(job, RoleLeader, s.now)
	if d.Verdict != Admit {
		s.waiting.Add(job.ID, d, s.now)
		return d
	}
	s.waiting.Remove(job.ID)
	s.backlog[d.Flow] += d.Cost
	s.admitted[d.Flow] += d.Cost
	s.jobs[job.Team+"/"+job.Class]++
	return d
}

// advance moves the clock forward by d. Meanwhile teams with a backlog share the fleet evenly.
func (s *simulation) advance(d units.Micros) {
	s.now += d
	requests := make([]ShareRequest, len(s.teams))
	for i, team := range s.teams {
		requests[i] = ShareRequest{Demand: workOfTeam(s.backlog, team.Name), Weight: 1}
	}
	for i, done := range FairShares(WorkOf(1, s.capacity[CPU], d), requests) {
		for flow, work := range s.backlog {
			if flow.Team == s.teams[i].Name && requests[i].Demand > 0 {
				s.backlog[flow] -= Work(float64(done) * float64(work) / float64(requests[i].Demand))
			}
		}
	}
}

// admittedBy returns the admitted work of a team.
func (s *simulation) admittedBy(team string) Work { return workOfTeam(s.admitted, team) }

// workOfTeam returns the total work of a team's flows.
func workOfTeam(flows map[Flow]Work, team string) Work {
	var sum Work
	for flow, work := range flows {
		if flow.Team == team {
			sum += work
		}
	}
	return sum
}

// user submits a job until it is admitted or the user gives up.
type user struct {
	job   *protocol.JobSpec
	next  units.Micros // time of the next request
	until units.Micros // time at which the user gives up
	done  bool
}

// userTimeout is how long users retry before they give up.
const userTimeout = 60 * units.Second

// run simulates the requests of users until a time, with a new plan every half second. It
// returns the number of users that gave up, by team.
func (s *simulation) run(users []*user, until units.Micros) map[string]int {
	gaveUp := map[string]int{}
	const step = 100 * units.Millisecond
	for ; s.now < until; s.advance(step) {
		if s.now%(5*step) == 0 {
			s.publishPlan()
		}
		for _, u := range users {
			if u.done || s.now < u.next {
				continue
			}
			d := s.submit(u.job)
			u.next = s.now + d.RetryAfter
			switch {
			case d.Verdict == Admit:
				u.done = true
			case u.next > u.until:
				u.done = true
				gaveUp[u.job.Team]++
			}
		}
	}
	return gaveUp
}

// arrivals returns one user for each job, with first requests evenly spaced between two times.
func arrivals(jobs []*protocol.JobSpec, from, until units.Micros) []*user {
	users := make([]*user, len(jobs))
	for i, job := range jobs {
		at := from + (until-from)*units.Micros(i)/units.Micros(len(jobs))
		users[i] = &user{job: job, next: at, until: at + userTimeout}
	}
	return users
}

// testJobs returns count equal jobs with consecutive numbers in their IDs.
func testJobs(first, count int, team, class string, tasks int, seconds float64) []*protocol.JobSpec {
	jobs := make([]*protocol.JobSpec, count)
	for i := range jobs {
		jobs[i] = testJob(first+i, team, class, tasks, seconds)
	}
	return jobs
}
