package federation

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

// memoryStore keeps records with versions, as the state service does.
type fakeStore struct {
	mu       sync.Mutex
	records  map[string]protocol.Item
	revision uint64
	down     bool
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]protocol.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Item
	for key, item := range s.records {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, item)
		}
	}
	return out, nil
}

func (s *fakeStore) Save(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, context.DeadlineExceeded
	}
	if s.records[key].Version != version {
		return 0, ErrConflict
	}
	s.revision++
	if value == nil {
		delete(s.records, key)
	} else {
		s.records[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	}
	return s.revision, nil
}

// region is three cells on one network, and an observer of all their machines.
type fakeRegion struct {
	t      *testing.T
	clock  units.Clock
	random *rand.Rand
	cells  map[string]*fakeCell
	config *Config

	mu          sync.Mutex
	partitioned map[string]bool
	answers     map[string]string // by job: what its user was told at last
	runningIn   map[string]map[string]bool
}

// bubbleClock is the time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Steady() units.Micros {
	return units.Micros(time.Since(c.began) / time.Microsecond)
}

func (c bubbleClock) Wall() units.Micros { return units.Micros(time.Now().UnixMicro()) }

// link loses, doubles and delays messages.
type fakeTransport struct {
	region *fakeRegion
	from   string
}

func (l fakeTransport) Send(cell string, m Message) {
	r := l.region
	r.mu.Lock()
	defer r.mu.Unlock()
	copies := 1
	switch r.random.IntN(10) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+r.random.IntN(40)) * time.Millisecond
		if r.random.IntN(20) == 0 {
			delay = time.Duration(r.random.IntN(60_000)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { r.deliver(l.from, cell, m) })
	}
}

func (r *fakeRegion) deliver(from, to string, m Message) {
	r.mu.Lock()
	lost := r.partitioned[from] || r.partitioned[to]
	manager := r.cells[to].manager
	r.mu.Unlock()
	if !lost && manager != nil {
		manager.Receive(context.Background(), from, m)
	}
}

// answer notes what a job's user is told, which must not change once it is final.
func (r *fakeRegion) recordAnswer(job, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told := r.answers[job]; told != "" && told != what {
		r.t.Errorf("%s was called %s and is called %s", job, told, what)
	}
	r.answers[job] = what
}

// runs notes that a cell's machine begins or ends a task.
func (r *fakeRegion) recordRun(cell, job string, begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runningIn[job] == nil {
		r.runningIn[job] = map[string]bool{}
	}
	if begins {
		r.runningIn[job][cell] = true
	} else {
		delete(r.runningIn[job], cell)
	}
	if len(r.runningIn[job]) > 1 {
		r.t.Errorf("%s runs in two cells: %v", job, r.runningIn[job])
	}
}

// machineTask is a task on a machine of a stand-in cell.
type machineTask struct {
	job          string
	guest        TransferID // of another cell's job, else zero
	task         int
	completesAt  units.Micros
	leaseExpires units.Micros // the worker's lease, prolonged by the leader
}

// cellJob is a job as a stand-in cell's scheduler keeps it, durably.
type fakeJob struct {
	id, class       string
	handedOver      bool // handed over, or being handed over
	cancelRequested bool
	ended           bool
	done            TaskSet
	restarts        int
}

// standInCell is a cell: a leader that may be gone, machines that go on without it, and
// records.
type fakeCell struct {
	name         string
	region       *fakeRegion
	store        *fakeStore
	manager      *Manager // nil: no leader
	fencingToken uint64
	slots        int

	mu          sync.Mutex
	jobs        []*fakeJob
	guestDone   map[TransferID]TaskSet // other cells' jobs that are to run, and what is done
	guestWanted map[TransferID]bool
	tasks       []machineTask
}

const (
	fakeJobTasks    = 4
	fakeTaskRunTime = 5 * units.Second
)

func (c *fakeCell) Run(id TransferID, _ []byte, done TaskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guestDone[id] = c.guestDone[id].Union(done)
	c.guestWanted[id] = true
}

func (c *fakeCell) Stop(id TransferID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guestWanted[id] = false
}

func (c *fakeCell) Progress(id TransferID) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.guest == id })
	return Progress{Done: c.guestDone[id], Complete: allDone(c.guestDone[id]), Running: present}
}

func allDone(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<fakeJobTasks - 1}) }

func (c *fakeCell) job(id string) *fakeJob {
	i := slices.IndexFunc(c.jobs, func(j *fakeJob) bool { return j.id == id })
	return c.jobs[i]
}

func (c *fakeCell) Returned(id string, done TaskSet, reruns int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.handedOver, j.done, j.restarts = false, j.done.Union(done), reruns
	return j.ended
}

func (c *fakeCell) Finished(id string, done TaskSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.done = j.done.Union(done)
	if !allDone(j.done) {
		c.region.t.Errorf("%s is finished with tasks %v", id, j.done)
	}
	j.ended = true
	c.region.recordAnswer(id, "done")
	return true
}

func (c *fakeCell) Withdrawn(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(id).ended = true
	c.region.recordAnswer(id, "cancelled")
	return true
}

// lead begins a new leader.
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
	m.SetCapacity(Work(c.slots) * 100_000)
	c.region.mu.Lock()
	c.manager = m
	c.region.mu.Unlock()
}

func (r *fakeRegion) configFor(self string) *Config {
	cells := *r.config
	cells.Self = self
	return &cells
}

// end ends the leader; its machines go on until their leases end.
func (c *fakeCell) stopLeader() {
	c.region.mu.Lock()
	defer c.region.mu.Unlock()
	c.manager = nil
}

// work is what machines and leader do in a quarter of a second.
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

func (c *fakeCell) jobsOnMachines() map[string]bool {
	jobs := map[string]bool{}
	for _, t := range c.tasks {
		jobs[t.job] = true
	}
	return jobs
}

// forget tells the observer which jobs have left the cell's machines.
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

// schedule starts tasks where there is room: its own jobs first, in their order.
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

func (c *fakeCell) startTasks(job string, foreign TransferID, done TaskSet, now units.Micros) {
	for task := range fakeJobTasks {
		there := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.job == job && t.task == task })
		if done.Has(task) || there || len(c.tasks) >= c.slots {
			continue
		}
		c.tasks = append(c.tasks, machineTask{
			job:          job,
			guest:        foreign,
			task:         task,
			completesAt:  now + fakeTaskRunTime,
			leaseExpires: now + c.region.config.Timing.StopGrace,
		})
		c.region.recordRun(c.name, job, true)
	}
}

// finish tells the users of jobs that ended here, and hands over jobs that wait.
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
		cancel, complete, held, over := j.cancelRequested, allDone(j.done), j.handedOver, j.ended
		c.mu.Unlock()
		switch {
		case over:
		case held && cancel:
			manager.Cancel(ctx, j.id)
		case !held && (cancel || complete) && manager.JobEnded(ctx, j.id):
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

// spill hands jobs that wait over to the cells with most room.
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
			if other := c.region.cells[name]; name == c.name || other.manager == nil || other.manager.FreeCapacity() < 20_000 {
				continue
			}
			c.mu.Lock()
			j.handedOver = true
			c.mu.Unlock()
			if err := manager.HandOver(ctx, HandOverRequest{Job: j.id, Class: j.class, Target: name, Description: []byte(j.id), Work: 20_000, Restarts: j.restarts}); err != nil {
				c.mu.Lock()
				j.handedOver = manager.Owner(j.id) != OwnerOrigin
				c.mu.Unlock()
			}
			break
		}
	}
}
