package federation

import (
	"context"
	"maps"
	"slices"
	"sync"

	"dunestand/internal/units"
)

// machineTask is a task on a machine of a fake cell.
type machineTask struct {
	job          string
	guest        TransferID // zero for a job of the cell's own
	task         int
	completesAt  units.Micros
	leaseExpires units.Micros // the worker's lease, extended by the leader
}

// fakeJob is a job as a fake cell's scheduler keeps it, durably.
type fakeJob struct {
	id, class       string
	handedOver      bool // handed over, or being handed over
	cancelRequested bool
	ended           bool
	done            TaskSet
	restarts        int
}

// fakeCell is a cell: a leader that may be away, machines that go on without it, and a
// store. It is the Scheduler of its leader's Manager.
type fakeCell struct {
	name         string
	region       *fakeRegion
	store        *fakeStore
	manager      *Manager // nil: no leader
	fencingToken uint64
	slots        int

	mu          sync.Mutex
	jobs        []*fakeJob
	guestDone   map[TransferID]TaskSet // of other cells' jobs
	guestWanted map[TransferID]bool    // which of them are to run
	tasks       []machineTask
}

const (
	fakeJobTasks    = 4
	fakeTaskRunTime = 5 * units.Second
	// fakeJobWork is the work of a job, four tasks of a CPU; fakeSlotCapacity is what a
	// cell offers for each of its slots.
	fakeJobWork      = Work(fakeJobTasks * 5 * 1000)
	fakeSlotCapacity = Work(100_000)
)

// startLeader starts a leader with the next fencing token.
func (c *fakeCell) startLeader() {
	c.fencingToken++
	m := NewManager(Options{
		Config:          c.region.configFor(c.name),
		Store:           c.store,
		Transport:       fakeTransport{c.region, c.name},
		Scheduler:       c,
		Clock:           c.region.clock,
		FencingToken:    c.fencingToken,
		LeaseAcquiredAt: c.region.clock.Steady(),
	})
	if err := m.Restore(context.Background()); err != nil {
		c.region.t.Error(err)
	}
	m.SetCapacity(Work(c.slots) * fakeSlotCapacity)
	c.region.mu.Lock()
	c.manager = m
	c.region.mu.Unlock()
}

// stopLeader stops the leader. The machines go on until their leases expire.
func (c *fakeCell) stopLeader() {
	c.region.mu.Lock()
	defer c.region.mu.Unlock()
	c.manager = nil
}

// stepMachines completes tasks, extends the leases of workers and starts tasks.
func (c *fakeCell) stepMachines() {
	now := c.region.clock.Steady()
	manager := c.manager
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.tasks[:0]
	for _, t := range c.tasks {
		own := t.guest == TransferID{}
		if manager != nil && (own || c.guestWanted[t.guest] && manager.MayRun(t.guest)) {
			t.leaseExpires = now + c.region.config.Timing.StopGrace
		}
		switch {
		case now >= t.leaseExpires, own && c.job(t.job).ended:
		case now >= t.completesAt && own:
			c.job(t.job).done.Add(t.task)
		case now >= t.completesAt:
			done := c.guestDone[t.guest].Union(nil)
			done.Add(t.task)
			c.guestDone[t.guest] = done
		default:
			kept = append(kept, t)
		}
	}
	c.tasks = kept
	for job := range c.jobsOnMachines() {
		c.region.recordRun(c.name, job, true)
	}
	c.recordJobsGone()
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

// recordJobsGone records which jobs are no longer on the cell's machines.
func (c *fakeCell) recordJobsGone() {
	present := c.jobsOnMachines()
	c.region.mu.Lock()
	var gone []string
	for job, cells := range c.region.runningIn {
		if cells[c.name] && !present[job] {
			gone = append(gone, job)
		}
	}
	c.region.mu.Unlock()
	for _, job := range gone {
		c.region.recordRun(c.name, job, false)
	}
}

// schedule starts tasks while there are free slots: of the cell's own jobs first, in their
// order.
func (c *fakeCell) schedule(manager *Manager, now units.Micros) {
	for _, j := range c.jobs {
		if !j.handedOver && !j.ended && !j.cancelRequested {
			c.startTasks(j.id, TransferID{}, j.done, now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.guestWanted), compareTransferIDs) {
		if c.guestWanted[id] && manager.MayRun(id) {
			c.startTasks(id.Job, id, c.guestDone[id], now)
		}
	}
}

// startTasks starts the tasks of a job that are neither done nor running.
func (c *fakeCell) startTasks(job string, guest TransferID, done TaskSet, now units.Micros) {
	for task := range fakeJobTasks {
		running := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.job == job && t.task == task })
		if done.Has(task) || running || len(c.tasks) >= c.slots {
			continue
		}
		c.tasks = append(c.tasks, machineTask{
			job:          job,
			guest:        guest,
			task:         task,
			completesAt:  now + fakeTaskRunTime,
			leaseExpires: now + c.region.config.Timing.StopGrace,
		})
		c.region.recordRun(c.name, job, true)
	}
}

// stepLeader has the Manager look at its transfers, ends jobs that are done or cancelled
// here, and hands over jobs that wait.
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
		cancelRequested, complete, handedOver, ended := j.cancelRequested, fakeJobDone(j.done), j.handedOver, j.ended
		c.mu.Unlock()
		switch {
		case ended:
		case handedOver && cancelRequested:
			manager.Cancel(ctx, j.id)
		case !handedOver && (cancelRequested || complete) && manager.JobEnded(ctx, j.id):
			c.mu.Lock()
			j.ended = true
			c.mu.Unlock()
			answer := "done"
			if !complete {
				answer = "cancelled"
			}
			c.region.recordAnswer(j.id, answer)
		}
	}
	c.handOverWaiting(ctx, manager)
}

// handOverWaiting hands up to three jobs that wait to the first cell that has capacity.
func (c *fakeCell) handOverWaiting(ctx context.Context, manager *Manager) {
	c.mu.Lock()
	var waiting []*fakeJob
	present := c.jobsOnMachines()
	for _, j := range c.jobs {
		if !j.handedOver && !j.ended && !j.cancelRequested && len(j.done) == 0 && !present[j.id] && manager.Owner(j.id) == OwnerOrigin {
			waiting = append(waiting, j)
		}
	}
	c.mu.Unlock()
	if len(waiting) <= 2 {
		return
	}
	for _, j := range waiting[2:min(len(waiting), 5)] {
		for _, name := range []string{"dye", "recipes", "mill"} {
			if other := c.region.cells[name]; name == c.name || other.manager == nil || other.manager.FreeCapacity() < fakeJobWork {
				continue
			}
			c.mu.Lock()
			j.handedOver = true
			c.mu.Unlock()
			request := HandOverRequest{
				Job:         j.id,
				Class:       j.class,
				Target:      name,
				Description: []byte(j.id),
				Work:        fakeJobWork,
				Restarts:    j.restarts,
			}
			if err := manager.HandOver(ctx, request); err != nil {
				c.mu.Lock()
				j.handedOver = manager.Owner(j.id) != OwnerOrigin
				c.mu.Unlock()
			}
			break
		}
	}
}
