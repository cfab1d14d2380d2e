package coordination

import (
	"context"
	"slices"
	"sort"
	"time"

	"dunestand/internal/cluster"
	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

const (
	minCycleInterval   = 25 * units.Millisecond // the least time between rounds
	summaryInterval    = 10 * units.Second
	cycleInterval      = 250 * units.Millisecond
	cycleCostFactor    = 8  // a round's cost, this many times over, until the next
	minCyclePlacements = 48 // startOf in a round while little waits
	maxCyclePlacements = 512
)

// cycleLoop makes rounds of decisions when something has changed.
func (t *Leader) cycleLoop(ctx context.Context) {
	for sleep(ctx, minCycleInterval) {
		select {
		case <-ctx.Done():
			return
		case <-t.cycleSignal:
		case <-time.After(cycleInterval.Duration()):
		}
		t.mu.Lock()
		if now := t.Clock.Steady(); t.Elector.Valid(t.token) {
			t.checkTimeouts(now)
			if t.cycleDue(now) {
				t.runCycle(now, nil)
			} else {
				raise(t.cycleSignal)
			}
		}
		t.mu.Unlock()
	}
}

// checkTimeouts looks for what has passed its time, and logs the summary. Rounds may
// come forty times a second; all these times are seconds long, and each look goes over
// the whole fleet.
func (t *Leader) checkTimeouts(now units.Micros) {
	if now-t.lastTimeoutCheck < cycleInterval {
		return
	}
	t.lastTimeoutCheck = now
	t.expireLeases(now)
	t.checkHeartbeatLoss(now)
	if now-t.lastSummary >= summaryInterval {
		t.lastSummary = now
		t.logSummary(now)
	}
}

// cycleDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (t *Leader) cycleDue(now units.Micros) bool {
	return now-t.lastCycle >= max(minCycleInterval, min(t.cycleCost*cycleCostFactor, units.Second))
}

// runCycle plans on a snapshot and takes the outcome over into the ledger.
func (t *Leader) runCycle(now units.Micros, answering *cluster.Machine) {
	began := t.Clock.Steady()
	s, refs := t.snapshot(now, answering)
	wanted := Plan(&s)
	t.allMachinesConsidered = !wanted.Truncated
	clear(t.reservations)
	for _, h := range wanted.Reservations {
		t.reservations[refs.machines[h.Machine]] = refs.jobs[h.Job]
	}
	t.apply(wanted, refs, now)
	t.lastCycle = t.Clock.Steady()
	t.cycleCost = (7*t.cycleCost + (t.lastCycle - began)) / 8
}

// placeOnMachine plans for one machine between two rounds, in the order of the last one.
// Every other machine with room was offered then, or when it reported itself,
// so that this one is the companion whatever image it holds. It costs little
// next to a round: a machine that reports the end of a task has the next one
// in the answer, however large the fleet is.
func (t *Leader) placeOnMachine(m *cluster.Machine, now units.Micros) {
	if !t.allMachinesConsidered || len(t.queue) == 0 || m.Free().CPU <= 0 || !t.machineSchedulable(m, now) {
		return
	}
	s := Snapshot{MaxPlacements: maxCyclePlacements, Partial: true}
	teams := t.snapshotTeams(&s)
	s.Machines = []MachineView{t.machineView(m, now, true)}
	s.Machines[0].Headroom = t.headroom[m]
	// A few jobs at a time: the first ones mostly take all the room.
	queue := t.queue
	if held := t.reservations[m]; held != nil && t.schedulable(held, now) {
		// The room is kept together for this job: none that comes later gets any.
		if i := slices.IndexFunc(queue, func(q queuedJob) bool { return q.job == held }); i >= 0 {
			queue = queue[:i+1]
		}
	}
	for len(queue) > 0 && s.Machines[0].Free.CPU > 0 {
		n := min(len(queue), jobsPerPlacement)
		t.placeJobsOnMachine(queue[:n], m, &s, teams, now)
		queue = queue[n:]
	}
}

const jobsPerPlacement = 12

func (t *Leader) placeJobsOnMachine(queue []queuedJob, m *cluster.Machine, s *Snapshot, teams map[string]int, now units.Micros) {
	s.Jobs = s.Jobs[:0]
	refs := &snapshotIndex{machines: []*cluster.Machine{m}}
	for _, q := range queue {
		j := q.job
		if s.Machines[0].Free.Fits(j.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !t.schedulable(j, now) {
			continue
		}
		view := q.view
		if view.Starved && len(j.LiveAttempts) > 0 {
			continue // it has begun; its turn for the rest is found by the next round
		}
		view.Pending, view.LiveTasks, view.Team = j.Pending(), len(j.LiveAttempts), teams[j.Spec.Team]
		t.fillTopology(&view, j)
		if view.LiveByMachine != nil {
			continue // replicas are placed with all machines in view
		}
		s.Jobs = append(s.Jobs, view)
		refs.jobs = append(refs.jobs, j)
	}
	if len(s.Jobs) > 0 {
		t.apply(Plan(s), refs, now)
	}
}

// checkpointMargin is what a task that is stopped gets to save beyond what its owner states.
const checkpointMargin = 2 * units.Second

// apply takes a plan over into the ledger.
func (t *Leader) apply(wanted Decisions, refs *snapshotIndex, now units.Micros) {
	gangs := map[int]bool{}
	for _, w := range wanted.Placements {
		j, m := refs.jobs[w.Job], refs.machines[w.Machine]
		for range w.Count {
			// A gang's tasks find each other by the attempt they share.
			if j.Spec.Kind != protocol.Gang || !gangs[w.Job] {
				t.attemptsStarted++
				gangs[w.Job] = true
			}
			a := t.state.Assign(j, m, t.token<<32|t.attemptsStarted, now)
			if a == nil {
				break
			}
			t.traceAttempt("task placed", a)
			t.Metrics.placed(now - j.LearnedAt)
		}
		if !j.MachineIsDurable(m.ID) {
			raise(t.writeSignal)
		}
		if j.IsService() {
			t.requestPush(m, j, now)
		}
	}
	for _, p := range wanted.Preemptions {
		a := refs.victims[p.Victim]
		t.state.StopAttempt(a, a.Job.Spec.CheckpointDuration+checkpointMargin)
		t.requestPush(a.Machine, nil, now)
		t.Log.Info("task preempted", "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.Job].Spec.ID, "for_class", refs.jobs[p.Job].Spec.Class)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
