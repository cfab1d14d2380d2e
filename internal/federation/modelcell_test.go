package federation

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// This file is what the leaders of the model's cells do when they look at their records.

func (m *model) tick(c *modelCell) {
	if m.now < c.up {
		return
	}
	for _, job := range m.jobs {
		if job.home == c {
			m.tickJob(c, job)
		}
	}
	for _, id := range c.leader.rooms.Expired(m.clock(c)) {
		if r, ok := c.in[id]; ok {
			m.targetDecides(c, r.ExpireReservation())
		} else {
			c.leader.rooms.Release(id)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.in), compareTransferIDs) {
		if r, ok := c.in[id]; ok && m.now >= c.up {
			m.tickTarget(c, r)
		}
	}
}

// tickJob is what the origin does about one of its jobs.
func (m *model) tickJob(c *modelCell, job *userJob) {
	if r, moved := c.out[job.id]; !moved || r.Owner() == OwnerOrigin {
		m.runHere(c, job)
	}
	r, moved := c.out[job.id]
	if !moved {
		return
	}
	switch r.Phase {
	case OriginFinished:
		m.tellDone(job, c.done[job.id].Union(r.Done))
	case OriginWithdrawn:
		m.tellCancelled(job)
	}
	if r.Removable() && (r.Phase != OriginReturned || job.done || job.cancelled || rapid.Bool().Draw(m.t, "remove")) {
		c.done[job.id] = c.done[job.id].Union(r.Done)
		job.incarnation, job.reruns = r.Transfer.Incarnation, r.NextRestarts()
		delete(c.out, job.id)
		return
	}
	grantor := c.leader.grantors[job.id]
	m.originDecides(c, r.Tick(grantor, m.clock(c), modelTerms))
	if r, ok := c.out[job.id]; ok && m.now >= c.up {
		switch {
		case job.cancel:
			m.originDecides(c, r.Cancel())
		case grantor.SinceLastGrant(m.clock(c)) > modelPatience:
			m.originDecides(c, r.Reclaim())
		}
	}
	if r, ok := c.out[job.id]; ok && m.now >= c.up {
		m.originDecides(c, r.Resend())
	}
}

// runHere is what a cell does with a job that is its own.
func (m *model) runHere(c *modelCell, job *userJob) {
	switch exec := c.execs[job.id]; {
	case job.done || job.cancelled:
		delete(c.execs, job.id)
	case job.cancel:
		delete(c.execs, job.id)
		m.tellCancelled(job)
		m.endedHere(c, job)
	case exec != nil:
		exec.aliveUntil = m.now + 1<<50 // ordinary scheduling within a cell is not modelled
		m.progress(exec)
		c.done[job.id] = c.done[job.id].Union(exec.done)
		if complete(c.done[job.id]) {
			m.tellDone(job, c.done[job.id])
			m.endedHere(c, job)
		}
	case m.calm || rapid.IntRange(0, 3).Draw(m.t, "run here") == 0:
		m.begin(c, job, fmt.Sprintf("at home after transfer %d", c.out[job.id].Transfer.Incarnation+job.incarnation), 1<<50)
	}
}

// endedHere stores, together with a job's end, that its transfer matters no more.
func (m *model) endedHere(c *modelCell, job *userJob) {
	if r, moved := c.out[job.id]; moved {
		c.out[job.id] = r.JobEnded().Record
	}
}

// tickTarget is what the target does about a transfer.
func (m *model) tickTarget(c *modelCell, r TargetRecord) {
	holder := c.leader.holders[r.Transfer]
	exec := c.execs[r.Transfer.Job]
	if r.MayRun(holder, m.clock(c)) {
		if exec == nil {
			m.begin(c, m.job(r.Transfer.Job), fmt.Sprintf("%v run %d", r.Transfer, r.Run), m.stop(c))
		} else {
			exec.aliveUntil = m.now + m.stop(c) // the workers are answered
			m.progress(exec)
			m.targetDecides(c, r.TasksCompleted(exec.done, complete(r.Done.Union(exec.done))))
		}
	}
	if r.Stopping && exec == nil {
		m.targetDecides(c, r.TasksStopped())
	}
	if r, ok := c.in[r.Transfer]; ok && m.now >= c.up {
		m.targetDecides(c, r.Resend())
		m.targetDecides(c, r.RequestRenewal(holder, m.clock(c)))
	}
}

// stop is, in real time, how long a cell's workers go on without an answer.
func (m *model) stop(c *modelCell) units.Micros {
	return units.Micros(float64(modelTerms.StopGrace) / c.rate)
}

// begin starts a job's tasks. That a cell starts tasks of a run once more that were lost
// with their machines is ordinary scheduling, and no other run.
func (m *model) begin(c *modelCell, job *userJob, run string, alive units.Micros) {
	job.begun[run] = true
	if len(job.begun) > 1+job.allowance {
		m.t.Fatalf("%s is begun as %v, its class allows %d reruns", job.id, job.begun, job.allowance)
	}
	c.execs[job.id] = &execution{aliveUntil: m.now + alive}
}

func (m *model) progress(exec *execution) {
	for task := range modelTasks {
		if m.calm || rapid.IntRange(0, 5).Draw(m.t, "ends") == 0 {
			exec.done.Add(task)
		}
	}
}

func complete(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<modelTasks - 1}) }

func (m *model) tellDone(job *userJob, done TaskSet) {
	if !complete(done) {
		m.t.Fatalf("%s is called done with tasks %v", job.id, done)
	}
	if job.cancelled {
		m.t.Fatalf("%s was called cancelled and is called done", job.id)
	}
	job.done = true
}

func (m *model) tellCancelled(job *userJob) {
	if job.done {
		return // it was done before
	}
	for _, c := range m.cells {
		if exec := c.execs[job.id]; exec != nil && m.now < exec.aliveUntil && c != job.home {
			m.t.Fatalf("%s is called cancelled while it runs in %s", job.id, c.name)
		}
	}
	job.cancelled = true
}
