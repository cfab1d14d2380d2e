package federation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

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

func (r *fakeRegion) configFor(self string) *Config {
	cells := *r.config
	cells.Self = self
	return &cells
}

func newFakeRegion(t *testing.T, seed uint64) *fakeRegion {
	cells := loadExampleConfig(t)
	cells.Timing = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}
	r := &fakeRegion{
		t:           t,
		clock:       bubbleClock{time.Now()},
		random:      rand.New(rand.NewPCG(seed, 1)),
		cells:       map[string]*fakeCell{},
		config:      cells,
		partitioned: map[string]bool{},
		answers:     map[string]string{},
		runningIn:   map[string]map[string]bool{},
	}
	for name, slots := range map[string]int{"mill": 4, "dye": 16, "recipes": 16} {
		r.cells[name] = &fakeCell{
			name:        name,
			region:      r,
			store:       &fakeStore{records: map[string]protocol.Item{}},
			slots:       slots,
			guestDone:   map[TransferID]TaskSet{},
			guestWanted: map[TransferID]bool{},
		}
	}
	for _, c := range r.cells {
		c.startLeader()
	}
	return r
}

// pass lets the cells work for a time.
func (r *fakeRegion) advance(length time.Duration) {
	for step := range int(length / (250 * time.Millisecond)) {
		time.Sleep(250 * time.Millisecond)
		synctest.Wait()
		for _, name := range []string{"mill", "dye", "recipes"} {
			r.cells[name].stepMachines()
			if step%4 == 0 {
				r.cells[name].stepLeader(context.Background())
			}
		}
	}
}

func (r *fakeRegion) submit(cell string, n int, class string) {
	c := r.cells[cell]
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		c.jobs = append(c.jobs, &fakeJob{id: fmt.Sprintf("j-%06d", len(c.jobs)+1), class: class})
	}
}

func (r *fakeRegion) setPartitioned(cell string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned[cell] = cut
}

// cancelSome cancels every sixth job.
func (r *fakeRegion) cancelSome() {
	c := r.cells["mill"]
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, j := range c.jobs {
		j.cancelRequested = j.cancelRequested || k%6 == 5
	}
}

func (r *fakeRegion) restartLeader(cell string, away time.Duration) {
	r.cells[cell].stopLeader()
	r.advance(away)
	r.cells[cell].startLeader()
}

// outage has a cell's state service refuse for a while.
func (r *fakeRegion) failStore(cell string, length time.Duration) {
	s := r.cells[cell].store
	set := func(down bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = down
	}
	set(true)
	r.advance(length)
	set(false)
}
