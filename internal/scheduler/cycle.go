// Package scheduler decides which tasks start on which machines. A scheduling cycle takes a
// snapshot of the state, plans on it as a pure function (order of jobs, bin packing,
// reservations, preemption), and applies the outcome to the state.
package scheduler

import (
	"log/slog"
	"slices"

	"dunestand/internal/cluster"
	"dunestand/internal/config"
	"dunestand/internal/failuredetector"
	"dunestand/internal/loop"
	"dunestand/internal/protocol"
	"dunestand/internal/push"
	"dunestand/internal/telemetry"
	"dunestand/internal/units"
)

// Deps is what a Scheduler works with.
type Deps struct {
	State       *cluster.State
	Detector    *failuredetector.Detector
	Pusher      *push.CommandPusher
	Settings    *config.Settings
	Policy      *config.Policy
	Clock       units.Clock
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
	Tracer      cluster.AttemptTracer
	Token       uint64
	WriteSignal loop.Signal
}

// Scheduler decides which tasks start on which machine. It plans on a snapshot of the state
// and applies the outcome to the state. Its fields are guarded by the lock of state, and
// its methods need that lock held.
type Scheduler struct {
	Deps

	lastCycle units.Micros
	CycleCost units.Micros // moving mean
	queue     []queuedJob  // waiting jobs as the last cycle saw them
	// reservations holds the machines whose free room the last cycle keeps together, and
	// for which job.
	reservations map[*cluster.Machine]*cluster.Job
	// allMachinesConsidered: the last cycle left no machine out for what waits.
	allMachinesConsidered bool
	headroom              map[*cluster.Machine]units.Resources // free room that the last cycle kept for replicas
}

func New(deps Deps) *Scheduler {
	return &Scheduler{
		Deps:         deps,
		reservations: map[*cluster.Machine]*cluster.Job{},
		headroom:     map[*cluster.Machine]units.Resources{},
	}
}

const (
	MinCycleInterval   = 25 * units.Millisecond // the least time between rounds
	cycleCostFactor    = 8                      // a round's cost, this many times over, until the next
	minCyclePlacements = 48                     // starts in a round while little waits
	maxCyclePlacements = 512
)

// CycleDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (sc *Scheduler) CycleDue(now units.Micros) bool {
	return now-sc.lastCycle >= max(MinCycleInterval, min(sc.CycleCost*cycleCostFactor, units.Second))
}

// RunCycle plans on a snapshot and takes the outcome over into the ledger.
func (sc *Scheduler) RunCycle(now units.Micros, answering *cluster.Machine) {
	began := sc.Clock.Steady()
	s, refs := sc.TakeSnapshot(now, answering)
	wanted := Plan(&s)
	sc.allMachinesConsidered = !wanted.Truncated
	clear(sc.reservations)
	for _, h := range wanted.Reservations {
		sc.reservations[refs.machines[h.Machine]] = refs.jobs[h.Job]
	}
	sc.apply(wanted, refs, now)
	sc.lastCycle = sc.Clock.Steady()
	sc.CycleCost = (7*sc.CycleCost + (sc.lastCycle - began)) / 8
}

// PlaceOnMachine plans for one machine between two rounds, in the order of the last one.
// Every other machine with room was offered then, or when it reported itself,
// so that this one is the companion whatever image it holds. It costs little
// next to a round: a machine that reports the end of a task has the next one
// in the answer, however large the fleet is.
func (sc *Scheduler) PlaceOnMachine(m *cluster.Machine, now units.Micros) {
	if !sc.allMachinesConsidered || len(sc.queue) == 0 || m.Free().CPU <= 0 || !sc.MachineSchedulable(m, now) {
		return
	}
	s := Snapshot{MaxPlacements: maxCyclePlacements, Partial: true}
	teams := sc.snapshotTeams(&s)
	s.Machines = []MachineView{sc.machineView(m, now, true)}
	s.Machines[0].Headroom = sc.headroom[m]
	// A few jobs at a time: the first ones mostly take all the room.
	queue := sc.queue
	if held := sc.reservations[m]; held != nil && sc.schedulable(held, now) {
		// The room is kept together for this job: none that comes later gets any.
		if i := slices.IndexFunc(queue, func(q queuedJob) bool { return q.job == held }); i >= 0 {
			queue = queue[:i+1]
		}
	}
	for len(queue) > 0 && s.Machines[0].Free.CPU > 0 {
		n := min(len(queue), jobsPerPlacement)
		sc.placeJobsOnMachine(queue[:n], m, &s, teams, now)
		queue = queue[n:]
	}
}

const jobsPerPlacement = 12

func (sc *Scheduler) placeJobsOnMachine(queue []queuedJob, m *cluster.Machine, s *Snapshot, teams map[string]int, now units.Micros) {
	s.Jobs = s.Jobs[:0]
	refs := &snapshotIndex{machines: []*cluster.Machine{m}}
	for _, q := range queue {
		j := q.job
		if s.Machines[0].Free.Fits(j.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !sc.schedulable(j, now) {
			continue
		}
		view := q.view
		if view.Starved && len(j.LiveAttempts) > 0 {
			continue // it has begun; its turn for the rest is found by the next round
		}
		view.Pending, view.LiveTasks, view.Team = j.Pending(), len(j.LiveAttempts), teams[j.Spec.Team]
		sc.fillTopology(&view, j)
		if view.LiveByMachine != nil {
			continue // replicas are placed with all machines in view
		}
		s.Jobs = append(s.Jobs, view)
		refs.jobs = append(refs.jobs, j)
	}
	if len(s.Jobs) > 0 {
		sc.apply(Plan(s), refs, now)
	}
}

// checkpointMargin is what a task that is stopped gets to save beyond what its owner states.
const checkpointMargin = 2 * units.Second

// apply takes a plan over into the ledger.
func (sc *Scheduler) apply(wanted Decisions, refs *snapshotIndex, now units.Micros) {
	gangs := map[int]bool{}
	var number uint64
	for _, w := range wanted.Placements {
		j, m := refs.jobs[w.Job], refs.machines[w.Machine]
		for range w.Count {
			// A gang's tasks find each other by the attempt they share.
			if j.Spec.Kind != protocol.Gang || !gangs[w.Job] {
				number = sc.State.NextAttempt(sc.Token)
				gangs[w.Job] = true
			}
			a := sc.State.Assign(j, m, number, now)
			if a == nil {
				break
			}
			sc.Tracer.Trace("task placed", a)
			sc.Metrics.Placed(now - j.LearnedAt)
		}
		if !j.MachineIsDurable(m.ID) {
			sc.WriteSignal.Raise()
		}
		if j.IsService() {
			sc.Pusher.RequestPush(m, j, now)
		}
	}
	for _, p := range wanted.Preemptions {
		a := refs.victims[p.Victim]
		sc.State.StopAttempt(a, a.Job.Spec.CheckpointDuration+checkpointMargin)
		sc.Pusher.RequestPush(a.Machine, nil, now)
		sc.Log.Info("task preempted", "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.Job].Spec.ID, "for_class", refs.jobs[p.Job].Spec.Class)
	}
}
