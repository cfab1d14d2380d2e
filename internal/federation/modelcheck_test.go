package federation

import "dunestand/internal/units"

// checkInvariants removes executions whose leases have expired. It requires that no job runs in
// two cells and that no cell has reserved more than its capacity.
func (m *model) checkInvariants() {
	for _, job := range m.jobs {
		var in []string
		for _, c := range m.cells {
			exec := c.executions[job.id]
			if exec != nil && m.now >= exec.leaseExpires {
				delete(c.executions, job.id)
				exec = nil
			}
			if exec != nil {
				in = append(in, c.name)
			}
		}
		if len(in) > 1 {
			m.t.Fatalf("job %s runs in cells %v at the same time", job.id, in)
		}
	}
	for _, c := range m.cells {
		if c.leader.reservations.reserved() > modelCapacity {
			m.t.Fatalf("cell %s has reserved %d of %d", c.name, c.leader.reservations.reserved(), modelCapacity)
		}
	}
}

// healAndFinish ends all faults and runs the cells. It requires that every job then reaches a
// terminal state and that all records are deleted.
func (m *model) healAndFinish() {
	m.healed = true
	clear(m.partitions)
	for range 400 {
		m.now += units.Second
		m.checkInvariants()
		for _, c := range m.cells {
			m.tick(c)
		}
		for range 4 {
			pending := m.network
			m.network = nil
			for _, e := range pending {
				m.deliver(e)
			}
		}
		m.checkInvariants()
	}
	for _, job := range m.jobs {
		if !job.answeredDone && !job.answeredCancelled {
			m.t.Fatalf("job %s has not ended, its record is %+v", job.id, job.origin.outgoing[job.id])
		}
	}
	for _, c := range m.cells {
		if len(c.outgoing)+len(c.incoming) != 0 {
			m.t.Fatalf("cell %s still has records: outgoing %+v, incoming %+v", c.name, c.outgoing, c.incoming)
		}
	}
}

// answerDone gives the user the final answer that the job is done. It requires that all tasks
// are done and that no other answer was given.
func (m *model) answerDone(job *userJob, done TaskSet) {
	if !modelJobDone(done) {
		m.t.Fatalf("job %s is reported as done with only tasks %v done", job.id, done)
	}
	if job.answeredCancelled {
		m.t.Fatalf("job %s is reported as done after it was reported as cancelled", job.id)
	}
	job.answeredDone = true
}

// answerCancelled gives the user the final answer that the job is cancelled, unless it was
// reported as done before. It requires that no task of the job runs outside its origin.
func (m *model) answerCancelled(job *userJob) {
	if job.answeredDone {
		return // the job completed before the cancellation took effect
	}
	for _, c := range m.cells {
		if exec := c.executions[job.id]; exec != nil && m.now < exec.leaseExpires && c != job.origin {
			m.t.Fatalf("job %s is reported as cancelled while it runs in cell %s", job.id, c.name)
		}
	}
	job.answeredCancelled = true
}

func modelJobDone(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<modelTasks - 1}) }
