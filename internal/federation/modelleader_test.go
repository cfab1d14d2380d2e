package federation

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// This file is what the leaders of the model do when they look at their records.

// tick has a cell's leader look at all of its records.
func (m *model) tick(c *modelCell) {
	if m.now < c.leaderStartsAt {
		return
	}
	for _, job := range m.jobs {
		if job.origin == c {
			m.tickJob(c, job)
		}
	}
	for _, id := range c.leader.reservations.Expired(m.clock(c)) {
		if r, ok := c.incoming[id]; ok {
			m.applyTarget(c, r.ExpireReservation())
		} else {
			c.leader.reservations.Release(id)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.incoming), compareTransferIDs) {
		if r, ok := c.incoming[id]; ok && m.now >= c.leaderStartsAt {
			m.tickTarget(c, r)
		}
	}
}

// tickJob is what the origin does about one of its jobs.
func (m *model) tickJob(c *modelCell, job *userJob) {
	if r, transferred := c.outgoing[job.id]; !transferred || r.Owner() == OwnerOrigin {
		m.runAtOrigin(c, job)
	}
	r, transferred := c.outgoing[job.id]
	if !transferred {
		return
	}
	switch r.Phase {
	case OriginFinished:
		m.answerDone(job, c.done[job.id].Union(r.Done))
	case OriginWithdrawn:
		m.answerCancelled(job)
	}
	if r.Removable() && (r.Phase != OriginReturned || job.answeredDone || job.answeredCancelled || rapid.Bool().Draw(m.t, "remove")) {
		c.done[job.id] = c.done[job.id].Union(r.Done)
		job.incarnation, job.restarts = r.Transfer.Incarnation, r.NextRestarts()
		delete(c.outgoing, job.id)
		return
	}
	grantor := c.leader.grantors[job.id]
	m.applyOrigin(c, r.Tick(grantor, m.clock(c), modelTiming))
	if r, ok := c.outgoing[job.id]; ok && m.now >= c.leaderStartsAt {
		switch {
		case job.cancelRequested:
			m.applyOrigin(c, r.Cancel())
		case grantor.SinceLastGrant(m.clock(c)) > modelReclaimAfter:
			m.applyOrigin(c, r.Reclaim())
		}
	}
	if r, ok := c.outgoing[job.id]; ok && m.now >= c.leaderStartsAt {
		m.applyOrigin(c, r.Resend())
	}
}

// runAtOrigin is what a cell does with a job that it owns.
func (m *model) runAtOrigin(c *modelCell, job *userJob) {
	switch exec := c.executions[job.id]; {
	case job.answeredDone || job.answeredCancelled:
		delete(c.executions, job.id)
	case job.cancelRequested:
		delete(c.executions, job.id)
		m.answerCancelled(job)
		m.recordEndAtOrigin(c, job)
	case exec != nil:
		exec.leaseExpires = m.now + modelUnlimitedLease
		m.completeTasks(exec)
		c.done[job.id] = c.done[job.id].Union(exec.done)
		if modelJobDone(c.done[job.id]) {
			m.answerDone(job, c.done[job.id])
			m.recordEndAtOrigin(c, job)
		}
	case m.healed || rapid.IntRange(0, 3).Draw(m.t, "run here") == 0:
		m.beginRun(c, job, fmt.Sprintf("at home after transfer %d", c.outgoing[job.id].Transfer.Incarnation+job.incarnation), modelUnlimitedLease)
	}
}

// recordEndAtOrigin stores, together with the end of a job, that its transfer no longer
// matters.
func (m *model) recordEndAtOrigin(c *modelCell, job *userJob) {
	if r, transferred := c.outgoing[job.id]; transferred {
		c.outgoing[job.id] = r.JobEnded().Record
	}
}

// tickTarget is what the target does about a transfer.
func (m *model) tickTarget(c *modelCell, r TargetRecord) {
	holder := c.leader.holders[r.Transfer]
	exec := c.executions[r.Transfer.Job]
	if r.MayRun(holder, m.clock(c)) {
		if exec == nil {
			m.beginRun(c, m.job(r.Transfer.Job), fmt.Sprintf("%v run %d", r.Transfer, r.Run), m.stopGrace(c))
		} else {
			exec.leaseExpires = m.now + m.stopGrace(c) // the leader extends the leases of its workers
			m.completeTasks(exec)
			m.applyTarget(c, r.TasksCompleted(exec.done, modelJobDone(r.Done.Union(exec.done))))
		}
	}
	if r.Stopping && exec == nil {
		m.applyTarget(c, r.TasksStopped())
	}
	if r, ok := c.incoming[r.Transfer]; ok && m.now >= c.leaderStartsAt {
		m.applyTarget(c, r.Resend())
		m.applyTarget(c, r.RequestRenewal(holder, m.clock(c)))
	}
}

// stopGrace is, in real time, how long a cell's workers go on without their leader.
func (m *model) stopGrace(c *modelCell) units.Micros {
	return units.Micros(float64(modelTiming.StopGrace) / c.clockRate)
}

// beginRun starts the tasks of a job. Where a cell starts tasks of the same run once more, as
// after the loss of machines, that is ordinary scheduling and no other run.
func (m *model) beginRun(c *modelCell, job *userJob, run string, lease units.Micros) {
	job.runs[run] = true
	if len(job.runs) > 1+job.maxRestarts {
		m.t.Fatalf("%s has the runs %v, its class allows %d restarts", job.id, job.runs, job.maxRestarts)
	}
	c.executions[job.id] = &execution{leaseExpires: m.now + lease}
}

// completeTasks completes some tasks, or all once faults are healed.
func (m *model) completeTasks(exec *execution) {
	for task := range modelTasks {
		if m.healed || rapid.IntRange(0, 5).Draw(m.t, "ends") == 0 {
			exec.done.Add(task)
		}
	}
}
