package federation

import "slices"

// This file implements Scheduler for fakeCell.

func (c *fakeCell) Run(id TransferID, _ []byte, done TaskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomingDone[id] = c.incomingDone[id].Union(done)
	c.incomingWanted[id] = true
}

func (c *fakeCell) Stop(id TransferID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomingWanted[id] = false
}

func (c *fakeCell) Progress(id TransferID) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	running := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.transfer == id })
	return Progress{Done: c.incomingDone[id], Complete: fakeJobDone(c.incomingDone[id]), Running: running}
}

func fakeJobDone(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<fakeJobTasks - 1}) }

// job returns one of the cell's own jobs. c.mu must be held.
func (c *fakeCell) job(id string) *fakeJob {
	i := slices.IndexFunc(c.jobs, func(j *fakeJob) bool { return j.id == id })
	return c.jobs[i]
}

func (c *fakeCell) Returned(id string, done TaskSet, restarts int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.transferred, j.done, j.restarts = false, j.done.Union(done), restarts
	return j.ended
}

func (c *fakeCell) Finished(id string, done TaskSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.done = j.done.Union(done)
	if !fakeJobDone(j.done) {
		c.federation.t.Errorf("job %s is finished with only tasks %v done", id, j.done)
	}
	j.ended = true
	c.federation.recordAnswer(id, "done")
	return true
}

func (c *fakeCell) Withdrawn(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(id).ended = true
	c.federation.recordAnswer(id, "cancelled")
	return true
}
