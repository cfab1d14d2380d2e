package federation

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// The model executes the state machines of three cells in random histories. Messages are lost,
// duplicated and delayed without limit, partitions may affect a single direction, leaders
// crash before and after writes, and clocks drift. The invariants are checked on the simulated
// executions of tasks, independently of the records.

const (
	modelTasks        = 4
	modelCapacity     = Work(5)
	modelReclaimAfter = 20 * units.Second
	// modelUnlimitedLease is the lease of workers at the origin, whose scheduling is not
	// modelled.
	modelUnlimitedLease units.Micros = 1 << 50
)

var modelTiming = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}

// execution is the execution of a job on the machines of one cell.
type execution struct {
	leaseExpires units.Micros // real time at which the workers' leases expire
	done         TaskSet
}

// userJob is a job as seen by its user and by the invariant checker.
type userJob struct {
	id                              string
	origin                          *modelCell
	maxRestarts                     int
	runs                            map[string]bool // all runs begun in any cell
	cancelRequested                 bool
	answeredDone, answeredCancelled bool // final answers given to the user
	incarnation                     uint64
	restarts                        int
}

// modelCell is a cell with its stored records, the executions on its machines, and its leader.
type modelCell struct {
	name           string
	clockRate      float64 // rate of its steady clock relative to real time
	fencingToken   uint64
	leaderStartsAt units.Micros // real time until which the cell has no leader
	outgoing       map[string]OriginRecord
	incoming       map[TransferID]TargetRecord
	executions     map[string]*execution // executions by job
	done           map[string]TaskSet    // completed tasks of the cell's own jobs
	leader         modelLeader
}

// modelLeader is the volatile state of a leader.
type modelLeader struct {
	grantors     map[string]*LeaseGrantor
	holders      map[TransferID]*LeaseHolder
	reservations *Reservations
}

// envelope is a sent message that may still be delivered.
type envelope struct {
	from, to *modelCell
	message  Message
}

// model consists of three cells, the network between them, and their users' jobs.
type model struct {
	t          *rapid.T
	now        units.Micros
	cells      []*modelCell
	jobs       []*userJob
	network    []envelope
	partitions map[[2]string]bool // by sender and receiver
	healed     bool               // all faults have ended
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, partitions: map[[2]string]bool{}}
	for i, name := range []string{"mill", "dye", "recipes"} {
		c := &modelCell{
			name:       name,
			clockRate:  1 + float64(rapid.IntRange(-250, 250).Draw(t, "drift"))/1e6,
			outgoing:   map[string]OriginRecord{},
			incoming:   map[TransferID]TargetRecord{},
			executions: map[string]*execution{},
			done:       map[string]TaskSet{},
		}
		m.cells = append(m.cells, c)
		m.startLeader(c)
		for k := range 2 {
			m.jobs = append(m.jobs, &userJob{
				id:          fmt.Sprintf("j-%06d", 10*i+k),
				origin:      c,
				runs:        map[string]bool{},
				maxRestarts: rapid.IntRange(0, 2).Draw(t, "allowance"),
			})
		}
	}
	return m
}

// clock returns the steady time of a cell.
func (m *model) clock(c *modelCell) units.Micros { return units.Micros(float64(m.now) * c.clockRate) }

// startLeader starts a new leader, which knows only the stored records.
func (m *model) startLeader(c *modelCell) {
	c.fencingToken++
	c.leader = modelLeader{
		grantors:     map[string]*LeaseGrantor{},
		holders:      map[TransferID]*LeaseHolder{},
		reservations: NewReservations(5 * units.Second),
	}
	c.leader.reservations.SetCapacity(modelCapacity)
	for job := range c.outgoing {
		grantor := NewLeaseGrantor(m.clock(c))
		c.leader.grantors[job] = &grantor
	}
	for id, r := range c.incoming {
		holder := NewLeaseHolder(c.fencingToken)
		c.leader.holders[id] = &holder
		c.leader.reservations.Restore(r, m.clock(c))
	}
}

// maybeCrash crashes a cell's leader at random and reports whether it did.
func (m *model) maybeCrash(c *modelCell) bool {
	if m.healed || rapid.IntRange(0, 99).Draw(m.t, "leader ends") != 50 {
		return false
	}
	m.crash(c)
	return true
}

// crash replaces a cell's leader after a random time without a leader.
func (m *model) crash(c *modelCell) {
	m.startLeader(c)
	c.leaderStartsAt = m.now + rapid.SampledFrom([]units.Micros{0, 1, 5, 40}).Draw(m.t, "away")*units.Second
}

func (m *model) job(id string) *userJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *userJob) bool { return j.id == id })]
}

// maybeBeginTransfer begins a transfer of a job to a random cell if the job is eligible and does
// not run.
func (m *model) maybeBeginTransfer(job *userJob) {
	c := job.origin
	if _, transferred := c.outgoing[job.id]; transferred || m.now < c.leaderStartsAt || c.executions[job.id] != nil || job.answeredDone || job.cancelRequested {
		return
	}
	restarts := job.restarts
	if restarts > job.maxRestarts {
		return
	}
	to := m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(m.t, "target")]
	if to == c {
		return
	}
	id := TransferID{Origin: c.name, Job: job.id, Incarnation: job.incarnation + 1}
	request := TransferRequest{Target: to.name, Description: []byte("job"), Work: 2, Restarts: restarts}
	m.applyOrigin(c, BeginTransfer(id, request, job.maxRestarts))
}

// step executes one random event.
func (m *model) step() {
	c := m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(m.t, "cell")]
	job := m.jobs[rapid.IntRange(0, len(m.jobs)-1).Draw(m.t, "job")]
	other := m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(m.t, "other")]
	switch op := rapid.IntRange(0, 29).Draw(m.t, "op"); op {
	case 0:
		m.crash(c)
	case 1:
		link := [2]string{c.name, other.name}
		m.partitions[link] = !m.partitions[link]
	case 2:
		job.cancelRequested = job.cancelRequested || rapid.IntRange(0, 2).Draw(m.t, "cancel") == 0
	case 3, 4, 5:
		m.maybeBeginTransfer(job)
	case 6:
		m.advance(units.Micros(rapid.IntRange(1, 40).Draw(m.t, "long")) * units.Second)
	case 7, 8, 9, 10, 11, 12, 13, 14:
		m.advance(units.Micros(rapid.IntRange(1, 2_000).Draw(m.t, "short")) * units.Millisecond)
	default:
		for range min(3, len(m.network)) {
			m.deliverAny()
		}
	}
}

// advance advances real time and then calls tick for every cell.
func (m *model) advance(duration units.Micros) {
	m.now += duration
	m.checkInvariants()
	for _, c := range m.cells {
		m.tick(c)
		m.checkInvariants()
	}
}

// In every history, tasks of a job run in at most one cell at a time, a job is not restarted
// more often than its class allows, users get one correct final answer, and reservations do not
// exceed the capacity. After all faults have ended, every job reaches a terminal state and all
// records are deleted.
func TestRandomHistoriesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.checkInvariants()
			m.step()
		}
		m.healAndFinish()
	})
}
