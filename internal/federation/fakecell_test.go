package federation

import (
	"context"
	"maps"
	"slices"
	"sync"

	"dunestand/internal/units"
)

// machineTask is a task running on a machine of a fakeCell.
type machineTask struct {
	job          string
	transfer     TransferID // transfer of the job, zero for the cell's own jobs
	task         int
	completesAt  units.Micros
	leaseExpires units.Micros // expiry of the worker's lease, which the leader extends
}

// fakeJob is the durable job record of a fakeCell's scheduler.
type fakeJob struct {
	id, class       string
	transferred     bool // a transfer was begun and the job has not returned
	cancelRequested bool
	ended           bool
	done            TaskSet
	restarts        int
}

// fakeCell is a cell with a leader, which may be stopped, machines that keep running without
// the leader, and a store. It implements Scheduler for the Manager of its leader.
type fakeCell struct {
	name         string
	federation   *fakeFederation
	store        *fakeStore
	manager      *Manager // nil while there is no leader
	fencingToken uint64
	slots        int

	mu             sync.Mutex
	jobs           []*fakeJob
	incomingDone   map[TransferID]TaskSet // completed tasks of other cells' jobs
	incomingWanted map[TransferID]bool    // other cells' jobs that the Manager wants to run
	tasks          []machineTask
}

const (
	fakeJobTasks    = 4
	fakeTaskRunTime = 5 * units.Second
	// fakeJobWork is the work of a job, whose tasks use one CPU each. fakeSlotCapacity is the
	// capacity that a cell offers to other cells per slot.
	fakeJobWork      = Work(fakeJobTasks * 5 * 1000)
	fakeSlotCapacity = Work(100_000)
)

// startLeader starts a leader with the next fencing token.
func (c *fakeCell) startLeader() {
	c.fencingToken++
	m := NewManager(Options{
		Config:          c.federation.configFor(c.name),
		Store:           c.store,
		Transport:       fakeTransport{c.federation, c.name},
		Scheduler:       c,
		Clock:           c.federation.clock,
		FencingToken:    c.fencingToken,
		LeaseAcquiredAt: c.federation.clock.Steady(),
	})
	if err := m.Restore(context.Background()); err != nil {
		c.federation.t.Error(err)
	}
	m.SetCapacity(Work(c.slots) * fakeSlotCapacity)
	c.federation.mu.Lock()
	c.manager = m
	c.federation.mu.Unlock()
}

// stopLeader stops the leader. Tasks keep running until the leases of their workers expire.
func (c *fakeCell) stopLeader() {
	c.federation.mu.Lock()
	defer c.federation.mu.Unlock()
	c.manager = nil
}

// stepMachines extends the leases of workers, completes tasks and starts new ones.
func (c *fakeCell) stepMachines() {
	now := c.federation.clock.Steady()
	manager := c.manager
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.tasks[:0]
	for _, t := range c.tasks {
		own := t.transfer == TransferID{}
		if manager != nil && (own || c.incomingWanted[t.transfer] && manager.MayRun(t.transfer)) {
			t.leaseExpires = now + c.federation.config.Timing.StopGrace
		}
		switch {
		case now >= t.leaseExpires, own && c.job(t.job).ended:
		case now >= t.completesAt && own:
			c.job(t.job).done.Add(t.task)
		case now >= t.completesAt:
			done := c.incomingDone[t.transfer].Union(nil)
			done.Add(t.task)
			c.incomingDone[t.transfer] = done
		default:
			kept = append(kept, t)
		}
	}
	c.tasks = kept
	for job := range c.jobsOnMachines() {
		c.federation.recordRun(c.name, job, true)
	}
	c.recordStoppedJobs()
	if manager != nil {
		c.schedule(manager, now)
	}
}

// jobsOnMachines returns the jobs that have a task on a machine.
func (c *fakeCell) jobsOnMachines() map[string]bool {
	jobs := map[string]bool{}
	for _, t := range c.tasks {
		jobs[t.job] = true
	}
	return jobs
}

// recordStoppedJobs records which jobs no longer run on the cell's machines.
func (c *fakeCell) recordStoppedJobs() {
	running := c.jobsOnMachines()
	c.federation.mu.Lock()
	var stopped []string
	for job, cells := range c.federation.runningIn {
		if cells[c.name] && !running[job] {
			stopped = append(stopped, job)
		}
	}
	c.federation.mu.Unlock()
	for _, job := range stopped {
		c.federation.recordRun(c.name, job, false)
	}
}

// schedule starts tasks while there are free slots. The cell's own jobs take precedence, in
// order of submission.
func (c *fakeCell) schedule(manager *Manager, now units.Micros) {
	for _, j := range c.jobs {
		if !j.transferred && !j.ended && !j.cancelRequested {
			c.startTasks(j.id, TransferID{}, j.done, now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.incomingWanted), compareTransferIDs) {
		if c.incomingWanted[id] && manager.MayRun(id) {
			c.startTasks(id.Job, id, c.incomingDone[id], now)
		}
	}
}

// startTasks starts the tasks of a job that are neither done nor running.
func (c *fakeCell) startTasks(job string, id TransferID, done TaskSet, now units.Micros) {
	for task := range fakeJobTasks {
		running := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.job == job && t.task == task })
		if done.Has(task) || running || len(c.tasks) >= c.slots {
			continue
		}
		c.tasks = append(c.tasks, machineTask{
			job:          job,
			transfer:     id,
			task:         task,
			completesAt:  now + fakeTaskRunTime,
			leaseExpires: now + c.federation.config.Timing.StopGrace,
		})
		c.federation.recordRun(c.name, job, true)
	}
}

// stepLeader calls Manager.Tick, ends the cell's own jobs that are done or cancelled, and begins
// transfers of pending jobs.
func (c *fakeCell) stepLeader(ctx context.Context) {
	manager := c.manager
	if manager == nil {
		return
	}
	manager.Tick(ctx)
	c.mu.Lock()
	jobs := slices.Clone(c.jobs)
	c.mu.Unlock()
	for _, j := range jobs {
		c.mu.Lock()
		cancelRequested, complete, transferred, ended := j.cancelRequested, fakeJobDone(j.done), j.transferred, j.ended
		c.mu.Unlock()
		switch {
		case ended:
		case transferred && cancelRequested:
			manager.Cancel(ctx, j.id)
		case !transferred && (cancelRequested || complete) && manager.EndJob(ctx, j.id):
			c.mu.Lock()
			j.ended = true
			c.mu.Unlock()
			answer := "done"
			if !complete {
				answer = "cancelled"
			}
			c.federation.recordAnswer(j.id, answer)
		}
	}
	c.transferPendingJobs(ctx, manager)
}

// transferPendingJobs begins transfers of up to three pending jobs, each to the first cell with
// enough capacity. Two pending jobs always stay.
func (c *fakeCell) transferPendingJobs(ctx context.Context, manager *Manager) {
	c.mu.Lock()
	var pending []*fakeJob
	running := c.jobsOnMachines()
	for _, j := range c.jobs {
		if !j.transferred && !j.ended && !j.cancelRequested && len(j.done) == 0 && !running[j.id] && manager.Owner(j.id) == OwnerOrigin {
			pending = append(pending, j)
		}
	}
	c.mu.Unlock()
	if len(pending) <= 2 {
		return
	}
	for _, j := range pending[2:min(len(pending), 5)] {
		for _, name := range []string{"dye", "recipes", "mill"} {
			if other := c.federation.cells[name]; name == c.name || other.manager == nil || other.manager.FreeCapacity() < fakeJobWork {
				continue
			}
			c.mu.Lock()
			j.transferred = true
			c.mu.Unlock()
			request := TransferRequest{
				Job:         j.id,
				Class:       j.class,
				Target:      name,
				Description: []byte(j.id),
				Work:        fakeJobWork,
				Restarts:    j.restarts,
			}
			if err := manager.BeginTransfer(ctx, request); err != nil {
				c.mu.Lock()
				j.transferred = manager.Owner(j.id) != OwnerOrigin
				c.mu.Unlock()
			}
			break
		}
	}
}
