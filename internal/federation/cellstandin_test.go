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
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]protocol.Item
	revision uint64
	down     bool
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]protocol.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []protocol.Item
	for key, item := range s.items {
		if len(key) > len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, item)
		}
	}
	return out, nil
}

func (s *memoryStore) Save(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, context.DeadlineExceeded
	}
	if s.items[key].Version != version {
		return 0, ErrConflict
	}
	s.revision++
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = protocol.Item{Key: key, Value: value, Version: s.revision}
	}
	return s.revision, nil
}

// region is three cells on one network, and an observer of all their machines.
type region struct {
	t      *testing.T
	clock  units.Clock
	random *rand.Rand
	cells  map[string]*standInCell
	terms  *Config

	mu      sync.Mutex
	cut     map[string]bool
	answers map[string]string // by job: what its user was told at last
	runsIn  map[string]map[string]bool
}

// bubbleClock is the time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Steady() units.Micros {
	return units.Micros(time.Since(c.began) / time.Microsecond)
}

func (c bubbleClock) Wall() units.Micros { return units.Micros(time.Now().UnixMicro()) }

// link loses, doubles and delays messages.
type link struct {
	region *region
	from   string
}

func (l link) Send(cell string, m Message) {
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
		time.AfterFunc(delay, func() { r.arrive(l.from, cell, m) })
	}
}

func (r *region) arrive(from, to string, m Message) {
	r.mu.Lock()
	lost := r.cut[from] || r.cut[to]
	manager := r.cells[to].manager
	r.mu.Unlock()
	if !lost && manager != nil {
		manager.Receive(context.Background(), from, m)
	}
}

// answer notes what a job's user is told, which must not change once it is final.
func (r *region) answer(job, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if told := r.answers[job]; told != "" && told != what {
		r.t.Errorf("%s was called %s and is called %s", job, told, what)
	}
	r.answers[job] = what
}

// runs notes that a cell's machine begins or ends a task.
func (r *region) runs(cell, job string, begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runsIn[job] == nil {
		r.runsIn[job] = map[string]bool{}
	}
	if begins {
		r.runsIn[job][cell] = true
	} else {
		delete(r.runsIn[job], cell)
	}
	if len(r.runsIn[job]) > 1 {
		r.t.Errorf("%s runs in two cells: %v", job, r.runsIn[job])
	}
}

// machineTask is a task on a machine of a stand-in cell.
type machineTask struct {
	job     string
	foreign TransferID // of another cell's job, else zero
	task    int
	ends    units.Micros
	dies    units.Micros // the worker's lease, prolonged by the leader
}

// cellJob is a job as a stand-in cell's scheduler keeps it, durably.
type cellJob struct {
	id, class string
	held      bool // handed over, or being handed over
	cancel    bool
	over      bool
	done      TaskSet
	reruns    int
}

// standInCell is a cell: a leader that may be gone, machines that go on without it, and
// records.
type standInCell struct {
	name    string
	region  *region
	store   *memoryStore
	manager *Manager // nil: no leader
	term    uint64
	slots   int

	mu      sync.Mutex
	jobs    []*cellJob
	foreign map[TransferID]TaskSet // other cells' jobs that are to run, and what is done
	wanted  map[TransferID]bool
	tasks   []machineTask
}

const (
	standInTasks = 4
	taskRun      = 5 * units.Second
)

func (c *standInCell) Run(id TransferID, _ []byte, done TaskSet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreign[id] = c.foreign[id].Union(done)
	c.wanted[id] = true
}

func (c *standInCell) Stop(id TransferID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted[id] = false
}

func (c *standInCell) Progress(id TransferID) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.foreign == id })
	return Progress{Done: c.foreign[id], Complete: allDone(c.foreign[id]), Running: present}
}

func allDone(done TaskSet) bool { return done.ContainsAll(TaskSet{1<<standInTasks - 1}) }

func (c *standInCell) job(id string) *cellJob {
	i := slices.IndexFunc(c.jobs, func(j *cellJob) bool { return j.id == id })
	return c.jobs[i]
}

func (c *standInCell) Returned(id string, done TaskSet, reruns int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.held, j.done, j.reruns = false, j.done.Union(done), reruns
	return j.over
}

func (c *standInCell) Finished(id string, done TaskSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.job(id)
	j.done = j.done.Union(done)
	if !allDone(j.done) {
		c.region.t.Errorf("%s is finished with tasks %v", id, j.done)
	}
	j.over = true
	c.region.answer(id, "done")
	return true
}

func (c *standInCell) Withdrawn(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.job(id).over = true
	c.region.answer(id, "cancelled")
	return true
}

// lead begins a new leader.
func (c *standInCell) lead() {
	c.term++
	m := NewManager(Options{
		Config:          c.region.cellsFor(c.name),
		Store:           c.store,
		Transport:       link{c.region, c.name},
		Scheduler:       c,
		Clock:           c.region.clock,
		FencingToken:    c.term,
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

func (r *region) cellsFor(self string) *Config {
	cells := *r.terms
	cells.Self = self
	return &cells
}

// end ends the leader; its machines go on until their leases end.
func (c *standInCell) end() {
	c.region.mu.Lock()
	defer c.region.mu.Unlock()
	c.manager = nil
}

// work is what machines and leader do in a quarter of a second.
func (c *standInCell) work() {
	now := c.region.clock.Steady()
	manager := c.manager
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.tasks[:0]
	for _, t := range c.tasks {
		own := t.foreign == TransferID{}
		if manager != nil && (own || c.wanted[t.foreign] && manager.MayRun(t.foreign)) {
			t.dies = now + c.region.terms.Timing.StopGrace
		}
		switch {
		case now >= t.dies, own && c.job(t.job).over:
		case now >= t.ends && own:
			c.job(t.job).done.Add(t.task)
		case now >= t.ends:
			done := c.foreign[t.foreign].Union(nil)
			done.Add(t.task)
			c.foreign[t.foreign] = done
		default:
			kept = append(kept, t)
		}
	}
	c.tasks = kept
	for job := range c.present() {
		c.region.runs(c.name, job, true)
	}
	c.forget()
	if manager != nil {
		c.schedule(manager, now)
	}
}

func (c *standInCell) present() map[string]bool {
	jobs := map[string]bool{}
	for _, t := range c.tasks {
		jobs[t.job] = true
	}
	return jobs
}

// forget tells the observer which jobs have left the cell's machines.
func (c *standInCell) forget() {
	present := c.present()
	c.region.mu.Lock()
	var gone []string
	for job, cells := range c.region.runsIn {
		if cells[c.name] && !present[job] {
			gone = append(gone, job)
		}
	}
	c.region.mu.Unlock()
	for _, job := range gone {
		c.region.runs(c.name, job, false)
	}
}

// schedule starts tasks where there is room: its own jobs first, in their order.
func (c *standInCell) schedule(manager *Manager, now units.Micros) {
	for _, j := range c.jobs {
		if !j.held && !j.over && !j.cancel {
			c.start(j.id, TransferID{}, j.done, now)
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.wanted), compareTransferIDs) {
		if c.wanted[id] && manager.MayRun(id) {
			c.start(id.Job, id, c.foreign[id], now)
		}
	}
}

func (c *standInCell) start(job string, foreign TransferID, done TaskSet, now units.Micros) {
	for task := range standInTasks {
		there := slices.ContainsFunc(c.tasks, func(t machineTask) bool { return t.job == job && t.task == task })
		if done.Has(task) || there || len(c.tasks) >= c.slots {
			continue
		}
		c.tasks = append(c.tasks, machineTask{
			job:     job,
			foreign: foreign,
			task:    task,
			ends:    now + taskRun,
			dies:    now + c.region.terms.Timing.StopGrace,
		})
		c.region.runs(c.name, job, true)
	}
}

// finish tells the users of jobs that ended here, and hands over jobs that wait.
func (c *standInCell) finish(ctx context.Context) {
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
		cancel, complete, held, over := j.cancel, allDone(j.done), j.held, j.over
		c.mu.Unlock()
		switch {
		case over:
		case held && cancel:
			manager.Cancel(ctx, j.id)
		case !held && (cancel || complete) && manager.JobEnded(ctx, j.id):
			c.mu.Lock()
			j.over = true
			c.mu.Unlock()
			answer := "done"
			if !complete {
				answer = "cancelled"
			}
			c.region.answer(j.id, answer)
		}
	}
	c.spill(ctx, manager)
}

// spill hands jobs that wait over to the cells with most room.
func (c *standInCell) spill(ctx context.Context, manager *Manager) {
	c.mu.Lock()
	var waiting []*cellJob
	present := c.present()
	for _, j := range c.jobs {
		if !j.held && !j.over && !j.cancel && len(j.done) == 0 && !present[j.id] && manager.Owner(j.id) == OwnerOrigin {
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
			j.held = true
			c.mu.Unlock()
			if err := manager.HandOver(ctx, HandOverRequest{Job: j.id, Class: j.class, Target: name, Description: []byte(j.id), Work: 20_000, Restarts: j.reruns}); err != nil {
				c.mu.Lock()
				j.held = manager.Owner(j.id) != OwnerOrigin
				c.mu.Unlock()
			}
			break
		}
	}
}
