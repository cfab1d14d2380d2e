package federation

import "dunestand/internal/units"

// check looks at the machines of all cells.
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
			m.t.Fatalf("%s has promised %d of %d", c.name, c.leader.reservations.reserved(), modelCapacity)
		}
	}
}

// settle heals everything and waits until every job is over and no record is left.
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
		if !job.toldDone && !job.toldCancelled {
			m.t.Fatalf("%s is lost: %+v", job.id, job.home.outgoing[job.id])
		}
	}
	for _, c := range m.cells {
		if len(c.outgoing)+len(c.incoming) != 0 {
			m.t.Fatalf("%s keeps records: %+v %+v", c.name, c.outgoing, c.incoming)
		}
	}
}

func (m *model) checkToldDone(job *userJob, done TaskSet) {
	if !complete(done) {
		m.t.Fatalf("%s is called done with tasks %v", job.id, done)
	}
	if job.toldCancelled {
		m.t.Fatalf("%s was called cancelled and is called done", job.id)
	}
	job.toldDone = true
}

func (m *model) checkToldCancelled(job *userJob) {
	if job.toldDone {
		return // it was done before
	}
	for _, c := range m.cells {
		if exec := c.executions[job.id]; exec != nil && m.now < exec.leaseExpires && c != job.home {
			m.t.Fatalf("%s is called cancelled while it runs in %s", job.id, c.name)
		}
	}
	job.toldCancelled = true
}

func complete(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<modelTasks - 1}) }
