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

// fakeRegion is three cells on one network, and an observer of all their machines and
// answers, in the time of a synctest bubble.
type fakeRegion struct {
	t      *testing.T
	clock  units.Clock
	random *rand.Rand
	cells  map[string]*fakeCell
	config *Config

	mu          sync.Mutex
	partitioned map[string]bool            // cells that are cut off
	answers     map[string]string          // by job, the last that its user got
	runningIn   map[string]map[string]bool // by job, then by cell
}

// bubbleClock is the time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Steady() units.Micros {
	return units.Micros(time.Since(c.began) / time.Microsecond)
}

func (c bubbleClock) Wall() units.Micros { return units.Micros(time.Now().UnixMicro()) }

// fakeTransport loses, duplicates and delays messages.
type fakeTransport struct {
	region *fakeRegion
	from   string
}

func (transport fakeTransport) Send(cell string, message Message) {
	r := transport.region
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
		time.AfterFunc(delay, func() { r.deliver(transport.from, cell, message) })
	}
}

// deliver delivers a message, unless one of the cells is partitioned or has no leader.
func (r *fakeRegion) deliver(from, to string, message Message) {
	r.mu.Lock()
	lost := r.partitioned[from] || r.partitioned[to]
	manager := r.cells[to].manager
	r.mu.Unlock()
	if !lost && manager != nil {
		manager.Receive(context.Background(), from, message)
	}
}

// recordAnswer records that a job's user is told that it is done or cancelled, which must not
// change any more.
func (r *fakeRegion) recordAnswer(job, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.answers[job]; before != "" && before != answer {
		r.t.Errorf("the user of %s was told that it is %s, and now that it is %s", job, before, answer)
	}
	r.answers[job] = answer
}

// recordRun records that a job begins to run, or ends, on the machines of a cell.
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

// configFor returns the cells file of a cell.
func (r *fakeRegion) configFor(self string) *Config {
	config := *r.config
	config.Self = self
	return &config
}

// newFakeRegion returns a region in which every cell has a leader and no job.
func newFakeRegion(t *testing.T, seed uint64) *fakeRegion {
	t.Helper()
	config := loadExampleConfig(t)
	config.Timing = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}
	r := &fakeRegion{
		t:           t,
		clock:       bubbleClock{time.Now()},
		random:      rand.New(rand.NewPCG(seed, 1)),
		cells:       map[string]*fakeCell{},
		config:      config,
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

// fakeStep is how often the machines of all cells do something; the leaders do so at every
// fourth step.
const fakeStep = 250 * time.Millisecond

// advance lets the cells work for a time.
func (r *fakeRegion) advance(length time.Duration) {
	for step := range int(length / fakeStep) {
		time.Sleep(fakeStep)
		synctest.Wait()
		for _, name := range []string{"mill", "dye", "recipes"} {
			r.cells[name].stepMachines()
			if step%4 == 0 {
				r.cells[name].stepLeader(context.Background())
			}
		}
	}
}

// submit submits n jobs of a class to a cell.
func (r *fakeRegion) submit(cell string, n int, class string) {
	c := r.cells[cell]
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		c.jobs = append(c.jobs, &fakeJob{id: fmt.Sprintf("j-%06d", len(c.jobs)+1), class: class})
	}
}

// setPartitioned cuts a cell off from all others, or ends that.
func (r *fakeRegion) setPartitioned(cell string, partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned[cell] = partitioned
}

// cancelSome cancels every sixth job of the mill.
func (r *fakeRegion) cancelSome() {
	c := r.cells["mill"]
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, j := range c.jobs {
		j.cancelRequested = j.cancelRequested || k%6 == 5
	}
}

// restartLeader stops a cell's leader, and starts another after a downtime.
func (r *fakeRegion) restartLeader(cell string, downtime time.Duration) {
	r.cells[cell].stopLeader()
	r.advance(downtime)
	r.cells[cell].startLeader()
}

// failStore has a cell's store refuse all writes for a time.
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
