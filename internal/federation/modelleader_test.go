package federation

import (
	"fmt"
	"maps"
	"slices"

	"pgregory.net/rapid"

	"dunestand/internal/units"
)

// This file holds the periodic work of the model's leaders.

// tick processes all jobs and transfers of a cell, unless it has no leader.
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

// tickJob processes one of the origin's own jobs.
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

// runAtOrigin simulates the scheduling of a job that its origin owns.
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
		m.beginRun(c, job, fmt.Sprintf("at origin after transfer %d", c.outgoing[job.id].Transfer.Incarnation+job.incarnation), modelUnlimitedLease)
	}
}

// recordEndAtOrigin applies OriginRecord.EndJob, as if in the same transaction as the
// terminal state of the job.
func (m *model) recordEndAtOrigin(c *modelCell, job *userJob) {
	if r, transferred := c.outgoing[job.id]; transferred {
		c.outgoing[job.id] = r.EndJob().Record
	}
}

// tickTarget processes a transfer at its target.
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

// stopGrace returns the real time for which a cell's workers keep running without their leader.
func (m *model) stopGrace(c *modelCell) units.Micros {
	return units.Micros(float64(modelTiming.StopGrace) / c.clockRate)
}

// beginRun starts the tasks of a job and requires that the restart limit is not exceeded.
// Starting tasks of the same run again, as after the loss of machines, is not a restart.
func (m *model) beginRun(c *modelCell, job *userJob, run string, lease units.Micros) {
	job.runs[run] = true
	if len(job.runs) > 1+job.maxRestarts {
		m.t.Fatalf("job %s has runs %v, its restart limit is %d", job.id, job.runs, job.maxRestarts)
	}
	c.executions[job.id] = &execution{leaseExpires: m.now + lease}
}

// completeTasks completes random tasks, or all tasks after all faults have ended.
func (m *model) completeTasks(exec *execution) {
	for task := range modelTasks {
		if m.healed || rapid.IntRange(0, 5).Draw(m.t, "ends") == 0 {
			exec.done.Add(task)
		}
	}
}
