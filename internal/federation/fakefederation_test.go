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

// fakeFederation consists of three cells on one network. It observes the machines and the
// final answers of all cells. It must be used inside a synctest bubble.
type fakeFederation struct {
	t      *testing.T
	clock  units.Clock
	random *rand.Rand
	cells  map[string]*fakeCell
	config *Config

	mu          sync.Mutex
	partitioned map[string]bool            // cells without connection to the others
	answers     map[string]string          // last answer given to the user, by job
	runningIn   map[string]map[string]bool // cells that run a job, by job
}

// bubbleClock is a units.Clock on the fake time of a synctest bubble.
type bubbleClock struct{ began time.Time }

func (c bubbleClock) Steady() units.Micros {
	return units.Micros(time.Since(c.began) / time.Microsecond)
}

func (c bubbleClock) Wall() units.Micros { return units.Micros(time.Now().UnixMicro()) }

// fakeTransport is a Transport that loses, duplicates and delays messages.
type fakeTransport struct {
	federation *fakeFederation
	from       string
}

func (transport fakeTransport) Send(cell string, message Message) {
	f := transport.federation
	f.mu.Lock()
	defer f.mu.Unlock()
	deliveries := 1
	switch f.random.IntN(10) {
	case 0:
		deliveries = 0
	case 1:
		deliveries = 2
	}
	for range deliveries {
		delay := time.Duration(1+f.random.IntN(40)) * time.Millisecond
		if f.random.IntN(20) == 0 {
			delay = time.Duration(f.random.IntN(60_000)) * time.Millisecond
		}
		time.AfterFunc(delay, func() { f.deliver(transport.from, cell, message) })
	}
}

// deliver delivers a message unless either cell is partitioned or the receiver has no leader.
func (f *fakeFederation) deliver(from, to string, message Message) {
	f.mu.Lock()
	lost := f.partitioned[from] || f.partitioned[to]
	manager := f.cells[to].manager
	f.mu.Unlock()
	if !lost && manager != nil {
		manager.Receive(context.Background(), from, message)
	}
}

// recordAnswer records the final answer given to the user of a job, "done" or "cancelled", and
// fails the test if it contradicts an earlier one.
func (f *fakeFederation) recordAnswer(job, answer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.answers[job]; before != "" && before != answer {
		f.t.Errorf("final answer for %s changes from %s to %s", job, before, answer)
	}
	f.answers[job] = answer
}

// recordRun records that a job begins or stops running on the machines of a cell, and fails
// the test if it runs in two cells.
func (f *fakeFederation) recordRun(cell, job string, begins bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runningIn[job] == nil {
		f.runningIn[job] = map[string]bool{}
	}
	if begins {
		f.runningIn[job][cell] = true
	} else {
		delete(f.runningIn[job], cell)
	}
	if len(f.runningIn[job]) > 1 {
		f.t.Errorf("job %s runs in more than one cell: %v", job, f.runningIn[job])
	}
}

// configFor returns the Config of a cell.
func (f *fakeFederation) configFor(self string) *Config {
	config := *f.config
	config.Self = self
	return &config
}

// newFakeFederation returns a federation in which every cell has a leader and no jobs.
func newFakeFederation(t *testing.T, seed uint64) *fakeFederation {
	t.Helper()
	config := loadExampleConfig(t)
	config.Timing = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}
	f := &fakeFederation{
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
		f.cells[name] = &fakeCell{
			name:           name,
			federation:     f,
			store:          &fakeStore{records: map[string]protocol.Item{}},
			slots:          slots,
			incomingDone:   map[TransferID]TaskSet{},
			incomingWanted: map[TransferID]bool{},
		}
	}
	for _, c := range f.cells {
		c.startLeader()
	}
	return f
}

// fakeStep is the interval between steps of the machines. Leaders act on every fourth step.
const fakeStep = 250 * time.Millisecond

// advance runs all cells for a duration.
func (f *fakeFederation) advance(duration time.Duration) {
	for step := range int(duration / fakeStep) {
		time.Sleep(fakeStep)
		synctest.Wait()
		for _, name := range []string{"mill", "dye", "recipes"} {
			f.cells[name].stepMachines()
			if step%4 == 0 {
				f.cells[name].stepLeader(context.Background())
			}
		}
	}
}

// submit submits n jobs of a class to a cell.
func (f *fakeFederation) submit(cell string, n int, class string) {
	c := f.cells[cell]
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		c.jobs = append(c.jobs, &fakeJob{id: fmt.Sprintf("j-%06d", len(c.jobs)+1), class: class})
	}
}

// setPartitioned begins or ends a partition between a cell and all others.
func (f *fakeFederation) setPartitioned(cell string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[cell] = partitioned
}

// cancelSome cancels every sixth job of cell mill.
func (f *fakeFederation) cancelSome() {
	c := f.cells["mill"]
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, j := range c.jobs {
		j.cancelRequested = j.cancelRequested || k%6 == 5
	}
}

// restartLeader stops a cell's leader and starts a new one after a downtime.
func (f *fakeFederation) restartLeader(cell string, downtime time.Duration) {
	f.cells[cell].stopLeader()
	f.advance(downtime)
	f.cells[cell].startLeader()
}

// failStore makes a cell's store reject all writes for a duration.
func (f *fakeFederation) failStore(cell string, duration time.Duration) {
	s := f.cells[cell].store
	set := func(down bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = down
	}
	set(true)
	f.advance(duration)
	set(false)
}
