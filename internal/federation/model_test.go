package federation

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "dunestand/internal/fake/fixedseed"
	"dunestand/internal/units"
)

// The model plays random histories of three cells: messages that are lost, duplicated and
// delayed by any time, partitions in one direction, leaders that crash before and after a
// write, clocks that drift. The invariants are checked on the tasks themselves, from outside.

const (
	modelTasks        = 4
	modelCapacity     = Work(5)
	modelReclaimAfter = 20 * units.Second
	// modelUnlimitedLease is the lease of a task at home, whose scheduling is not modelled.
	modelUnlimitedLease units.Micros = 1 << 50
)

var modelTiming = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}

// execution is a job's tasks on the machines of one cell.
type execution struct {
	leaseExpires units.Micros // real time of the workers' leases
	done         TaskSet
}

// userJob is a job as its user and an observer of all machines see it.
type userJob struct {
	id                              string
	origin                          *modelCell
	maxRestarts                     int
	runs                            map[string]bool // of its tasks, in whichever cell
	cancelRequested                 bool
	answeredDone, answeredCancelled bool // what the user was told
	incarnation                     uint64
	restarts                        int
}

// modelCell is a cell: what is stored, what its machines do, and its leader.
type modelCell struct {
	name           string
	clockRate      float64 // of its steady clock, against real time
	fencingToken   uint64
	leaderStartsAt units.Micros // real time from which a leader is there
	outgoing       map[string]OriginRecord
	incoming       map[TransferID]TargetRecord
	executions     map[string]*execution // by job
	done           map[string]TaskSet    // of jobs that are the cell's own
	leader         modelLeader
}

// modelLeader is what a leader keeps in memory only.
type modelLeader struct {
	grantors     map[string]*LeaseGrantor
	holders      map[TransferID]*LeaseHolder
	reservations *Reservations
}

// envelope is a message that was sent.
type envelope struct {
	from, to *modelCell
	message  Message
}

// model is three cells, their network and their users.
type model struct {
	t          *rapid.T
	now        units.Micros
	cells      []*modelCell
	jobs       []*userJob
	network    []envelope
	partitions map[[2]string]bool // by sender and receiver
	healed     bool               // no faults any more
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

// startLeader starts a leader, which knows what is stored and nothing else.
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

// maybeCrash may crash a cell's leader, and reports whether it did.
func (m *model) maybeCrash(c *modelCell) bool {
	if m.healed || rapid.IntRange(0, 99).Draw(m.t, "leader ends") != 50 {
		return false
	}
	m.crash(c)
	return true
}

// crash replaces a cell's leader, after a time without one.
func (m *model) crash(c *modelCell) {
	m.startLeader(c)
	c.leaderStartsAt = m.now + rapid.SampledFrom([]units.Micros{0, 1, 5, 40}).Draw(m.t, "away")*units.Second
}

func (m *model) job(id string) *userJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *userJob) bool { return j.id == id })]
}

// maybeHandOver begins a transfer of a job that does not run.
func (m *model) maybeHandOver(job *userJob) {
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
	request := HandOverRequest{Target: to.name, Description: []byte("job"), Work: 2, Restarts: restarts}
	m.applyOrigin(c, BeginTransfer(id, request, job.maxRestarts))
}

// step is one event of a history.
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
		m.maybeHandOver(job)
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

// advance lets time pass, and then every leader look at its records.
func (m *model) advance(time units.Micros) {
	m.now += time
	m.checkInvariants()
	for _, c := range m.cells {
		m.tick(c)
		m.checkInvariants()
	}
}

// Tasks of a job run in one cell at a time and no more often than its class allows; users get
// one final answer, and a true one; reservations stay within what is offered; and once all is
// healed every job ends and no record is left.
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
