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
	roundPause   = 25 * units.Millisecond // the least time between rounds
	summaryEvery = 10 * units.Second
	roundTick    = 250 * units.Millisecond
	roundsShare  = 8  // a round's cost, this many times over, until the next
	batchBase    = 48 // starts in a round while little waits
	batchMost    = 512
)

// roundLoop makes rounds of decisions when something has changed.
func (t *Term) roundLoop(ctx context.Context) {
	for pause(ctx, roundPause) {
		select {
		case <-ctx.Done():
			return
		case <-t.roundSignal:
		case <-time.After(roundTick.Duration()):
		}
		t.mu.Lock()
		if now := t.Clock.Steady(); t.Lease.Valid(t.number) {
			t.checkTimeouts(now)
			if t.roundDue(now) {
				t.round(now, nil)
			} else {
				signal(t.roundSignal)
			}
		}
		t.mu.Unlock()
	}
}

// checkTimeouts looks for what has passed its time, and logs the summary. Rounds may
// come forty times a second; all these times are seconds long, and each look goes over
// the whole fleet.
func (t *Term) checkTimeouts(now units.Micros) {
	if now-t.lastTimeoutCheck < roundTick {
		return
	}
	t.lastTimeoutCheck = now
	t.expire(now)
	t.checkContact(now)
	if now-t.lastSummary >= summaryEvery {
		t.lastSummary = now
		t.summary(now)
	}
}

// roundDue spaces rounds by what they cost, so that under load they come less
// often and decide more each.
func (t *Term) roundDue(now units.Micros) bool {
	return now-t.lastRound >= max(roundPause, min(t.roundCost*roundsShare, units.Second))
}

// round plans on a snapshot and takes the outcome over into the ledger.
func (t *Term) round(now units.Micros, answering *cluster.Machine) {
	began := t.Clock.Steady()
	s, refs := t.snapshot(now, answering)
	wanted := Plan(&s)
	t.allOffered = !wanted.Cut
	clear(t.reservedFor)
	for _, h := range wanted.Holds {
		t.reservedFor[refs.machines[h.Machine]] = refs.jobs[h.For]
	}
	t.carryOut(wanted, refs, now)
	t.lastRound = t.Clock.Steady()
	t.roundCost = (7*t.roundCost + (t.lastRound - began)) / 8
}

// fill plans for one machine between two rounds, in the order of the last one.
// Every other machine with room was offered then, or when it reported itself,
// so that this one is the companion whatever image it holds. It costs little
// next to a round: a machine that reports the end of a task has the next one
// in the answer, however large the fleet is.
func (t *Term) fill(m *cluster.Machine, now units.Micros) {
	if !t.allOffered || len(t.queue) == 0 || m.Free().CPU <= 0 || !t.accepts(m, now) {
		return
	}
	s := Snapshot{Batch: batchMost, Partial: true}
	teams := t.teamViews(&s)
	s.Machines = []MachineView{t.machineView(m, now, true)}
	s.Machines[0].Headroom = t.headroom[m]
	// A few jobs at a time: the first ones mostly take all the room.
	queue := t.queue
	if held := t.reservedFor[m]; held != nil && t.placeable(held, now) {
		// The room is kept together for this job: none that comes later gets any.
		if i := slices.IndexFunc(queue, func(q queued) bool { return q.job == held }); i >= 0 {
			queue = queue[:i+1]
		}
	}
	for len(queue) > 0 && s.Machines[0].Free.CPU > 0 {
		n := min(len(queue), fillJobs)
		t.fillFrom(queue[:n], m, &s, teams, now)
		queue = queue[n:]
	}
}

const fillJobs = 12

func (t *Term) fillFrom(queue []queued, m *cluster.Machine, s *Snapshot, teams map[string]int, now units.Micros) {
	s.Jobs = s.Jobs[:0]
	refs := &snapshotRefs{machines: []*cluster.Machine{m}}
	for _, q := range queue {
		j := q.job
		if s.Machines[0].Free.Fits(j.Spec.Request) == 0 && m.Freeing == (units.Resources{}) || !t.placeable(j, now) {
			continue
		}
		view := q.view
		if view.Overdue && len(j.LiveAttempts) > 0 {
			continue // it has begun; its turn for the rest is found by the next round
		}
		view.Pending, view.Live, view.Team = j.Pending(), len(j.LiveAttempts), teams[j.Spec.Team]
		t.spread(&view, j)
		if view.LiveOn != nil {
			continue // replicas are placed with all machines in view
		}
		s.Jobs = append(s.Jobs, view)
		refs.jobs = append(refs.jobs, j)
	}
	if len(s.Jobs) > 0 {
		t.carryOut(Plan(s), refs, now)
	}
}

// saveMargin is what a task that is stopped gets to save beyond what its owner states.
const saveMargin = 2 * units.Second

// carryOut takes a plan over into the ledger.
func (t *Term) carryOut(wanted Wanted, refs *snapshotRefs, now units.Micros) {
	gangs := map[int]bool{}
	for _, w := range wanted.Starts {
		j, m := refs.jobs[w.Job], refs.machines[w.Machine]
		for range w.Count {
			// A gang's tasks find each other by the attempt they share.
			if j.Spec.Kind != protocol.Gang || !gangs[w.Job] {
				t.attempts++
				gangs[w.Job] = true
			}
			a := t.ledger.Assign(j, m, t.number<<32|t.attempts, now)
			if a == nil {
				break
			}
			t.trace("task placed", a)
			t.Metrics.placed(now - j.LearnedAt)
		}
		if !j.MachineIsDurable(m.ID) {
			signal(t.saveSignal)
		}
		if j.IsService() {
			t.requestDirect(m, j, now)
		}
	}
	for _, p := range wanted.Stops {
		a := refs.victims[p.Victim]
		t.ledger.StopAttempt(a, a.Job.Spec.CheckpointDuration+saveMargin)
		t.requestDirect(a.Machine, nil, now)
		t.Log.Info("task preempted", "task", a.TaskName(), "attempt", a.Number, "machine", a.Machine.ID,
			"class", a.Job.Spec.Class, "for", refs.jobs[p.For].Spec.ID, "for_class", refs.jobs[p.For].Spec.Class)
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
