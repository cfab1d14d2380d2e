package federation

import "dunestand/internal/units"

// checkInvariants looks at the machines and the reservations of all cells.
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
			m.t.Fatalf("%s runs in %v at once", job.id, in)
		}
	}
	for _, c := range m.cells {
		if c.leader.reservations.reserved() > modelCapacity {
			m.t.Fatalf("%s has reserved %d of %d", c.name, c.leader.reservations.reserved(), modelCapacity)
		}
	}
}

// healAndFinish ends all faults, after which every job must end and no record be left.
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
			m.t.Fatalf("%s has not ended: %+v", job.id, job.origin.outgoing[job.id])
		}
	}
	for _, c := range m.cells {
		if len(c.outgoing)+len(c.incoming) != 0 {
			m.t.Fatalf("%s keeps records: %+v %+v", c.name, c.outgoing, c.incoming)
		}
	}
}

// answerDone tells a job's user that it is done, which must be true.
func (m *model) answerDone(job *userJob, done TaskSet) {
	if !modelJobDone(done) {
		m.t.Fatalf("the user of %s is told that it is done, with tasks %v done", job.id, done)
	}
	if job.answeredCancelled {
		m.t.Fatalf("the user of %s is told that it is done, and was told that it is cancelled", job.id)
	}
	job.answeredDone = true
}

// answerCancelled tells a job's user that it is cancelled, unless it was done before: no task
// of it may run elsewhere.
func (m *model) answerCancelled(job *userJob) {
	if job.answeredDone {
		return // the job was done before it could be cancelled
	}
	for _, c := range m.cells {
		if exec := c.executions[job.id]; exec != nil && m.now < exec.leaseExpires && c != job.origin {
			m.t.Fatalf("the user of %s is told that it is cancelled while it runs in %s", job.id, c.name)
		}
	}
	job.answeredCancelled = true
}

func modelJobDone(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<modelTasks - 1}) }
