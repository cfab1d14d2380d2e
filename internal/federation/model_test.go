package federation

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunestand/internal/protocol"
	_ "dunestand/internal/standin/fixedseed"
	"dunestand/internal/units"
)

// This file plays random histories of three cells: messages that are lost, doubled and
// late by any time, cuts in one direction, leaders that end before and after a save,
// clocks that drift. What must hold is checked on the tasks themselves, from outside.

const (
	modelTasks        = 4
	modelCapacity     = Work(5)
	modelReclaimAfter = 20 * units.Second
)

var modelTiming = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}

// execution is a job's tasks on the machines of one cell.
type execution struct {
	leaseExpires units.Micros // real time at which the workers' leases end
	done         TaskSet
}

// userJob is a job as its user and an observer of all machines see it.
type userJob struct {
	id                      string
	home                    *modelCell
	maxRestarts             int
	runsBegun               map[string]bool // the runs of its tasks, in whichever cell
	cancelRequested         bool
	toldDone, toldCancelled bool // the user was told
	incarnation             uint64
	restarts                int
}

type modelCell struct {
	name         string
	clockRate    float64 // of its steady clock
	fencingToken uint64
	leaderFrom   units.Micros // real time from which a leader is there
	outgoing     map[string]OriginRecord
	incoming     map[TransferID]TargetRecord
	executions   map[string]*execution // by job
	done         map[string]TaskSet    // of jobs that are the cell's own
	leader       modelLeader
}

// modelLeader is what a leader keeps in memory alone.
type modelLeader struct {
	grantors     map[string]*LeaseGrantor
	holders      map[TransferID]*LeaseHolder
	reservations *Reservations
}

type envelope struct {
	from, to *modelCell
	message  Message
}

type model struct {
	t          *rapid.T
	now        units.Micros
	cells      []*modelCell
	jobs       []*userJob
	network    []envelope
	partitions map[[2]string]bool
	healed     bool
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
				home:        c,
				runsBegun:   map[string]bool{},
				maxRestarts: rapid.IntRange(0, 2).Draw(t, "allowance"),
			})
		}
	}
	return m
}

func (m *model) clock(c *modelCell) units.Micros { return units.Micros(float64(m.now) * c.clockRate) }

// claim begins a new leader, which knows what is stored and nothing else.
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

// ends has a cell's leader end, and tells so.
func (m *model) maybeCrash(c *modelCell) bool {
	if m.healed || rapid.IntRange(0, 99).Draw(m.t, "leader ends") != 50 {
		return false
	}
	m.crash(c)
	return true
}

func (m *model) crash(c *modelCell) {
	m.startLeader(c)
	c.leaderFrom = m.now + rapid.SampledFrom([]units.Micros{0, 1, 5, 40}).Draw(m.t, "away")*units.Second
}

func (m *model) send(from *modelCell, to string, messages []Message) {
	for _, msg := range messages {
		if err := msg.Check(); err != nil {
			m.t.Fatalf("a cell sends %+v: %v", msg, err)
		}
		i := slices.IndexFunc(m.cells, func(c *modelCell) bool { return c.name == to })
		m.network = append(m.network, envelope{from, m.cells[i], msg})
	}
}

// originDecides carries a decision out: stored first, then sent.
func (m *model) applyOrigin(c *modelCell, d Decision[OriginRecord]) {
	if m.maybeCrash(c) {
		return
	}
	job := d.Record.Transfer.Job
	if d.Write {
		c.outgoing[job] = roundTripOrigin(m.t, d.Record)
		if c.leader.grantors[job] == nil {
			grantor := NewLeaseGrantor(m.clock(c))
			c.leader.grantors[job] = &grantor
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, d.Record.Target, d.Send)
}

func (m *model) applyTarget(c *modelCell, d Decision[TargetRecord]) {
	if m.maybeCrash(c) {
		return
	}
	id := d.Record.Transfer
	switch {
	case d.Remove:
		delete(c.incoming, id)
	case d.Write:
		c.incoming[id] = roundTripTarget(m.t, d.Record)
		if c.leader.holders[id] == nil {
			holder := NewLeaseHolder(c.fencingToken)
			c.leader.holders[id] = &holder
		}
		switch d.Record.Phase {
		case TargetAccepted:
			c.leader.reservations.Commit(id)
		case TargetFinished, TargetRefused:
			c.leader.reservations.Release(id)
		}
		if m.maybeCrash(c) {
			return
		}
	}
	m.send(c, id.Origin, d.Send)
}

func (m *model) deliver(e envelope) {
	c, msg := e.to, &e.message
	if m.now < c.leaderFrom || m.partitions[[2]string{e.from.name, c.name}] {
		return // lost
	}
	if msg.Kind.toTarget() {
		r, known := c.incoming[msg.Transfer]
		if known {
			m.applyTarget(c, r.Receive(msg, c.leader.holders[msg.Transfer], modelTiming.Lease, m.clock(c)))
			return
		}
		room := msg.Kind == MessageReserve && c.leader.reservations.Reserve(msg.Transfer, msg.Work, m.clock(c))
		m.applyTarget(c, ReceiveNew(msg, room))
		return
	}
	r, known := c.outgoing[msg.Transfer.Job]
	if !known {
		m.send(c, e.from.name, ReplyToUnknown(msg))
		return
	}
	d := r.Receive(msg, c.leader.grantors[r.Transfer.Job], m.clock(c))
	if msg.Transfer != r.Transfer {
		m.send(c, e.from.name, d.Send)
		return
	}
	m.applyOrigin(c, d)
}

func (m *model) job(id string) *userJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *userJob) bool { return j.id == id })]
}

// check looks at the machines of all cells.
func (m *model) checkInvariants() {
	for _, job := range m.jobs {
		var in []string
		for _, c := range m.cells {
			exec := c.executions[job.id]
			if exec != nil && m.now >= exec.leaseExpires {
				delete(c.executions, job.id)
				exec = nil
			}
			if exec != nil {
				in = append(in, c.name)
			}
		}
		if len(in) > 1 {
			m.t.Fatalf("%s runs in %v at once", job.id, in)
		}
	}
	for _, c := range m.cells {
		if c.leader.reservations.reserved() > modelCapacity {
			m.t.Fatalf("%s has promised %d of %d", c.name, c.leader.reservations.reserved(), modelCapacity)
		}
	}
}

// spill begins a transfer of a job that does not run.
func (m *model) maybeHandOver(job *userJob) {
	c := job.home
	if _, moved := c.outgoing[job.id]; moved || m.now < c.leaderFrom || c.executions[job.id] != nil || job.toldDone || job.cancelRequested {
		return
	}
	reruns := job.restarts
	if reruns > job.maxRestarts {
		return
	}
	to := m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(m.t, "target")]
	if to == c {
		return
	}
	id := TransferID{Origin: c.name, Job: job.id, Incarnation: job.incarnation + 1}
	request := HandOverRequest{Target: to.name, Description: []byte("job"), Work: 2, Restarts: reruns}
	m.applyOrigin(c, BeginTransfer(id, request, job.maxRestarts))
}

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

// pass lets time go by, and then every leader look at its records.
func (m *model) advance(time units.Micros) {
	m.now += time
	m.checkInvariants()
	for _, c := range m.cells {
		m.tick(c)
		m.checkInvariants()
	}
}

// deliverAny delivers any message that is on its way, however old. A copy may stay.
func (m *model) deliverAny() {
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "message")
	e := m.network[i]
	if len(m.network) > 60 || rapid.IntRange(0, 4).Draw(m.t, "copy stays") != 0 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	m.deliver(e)
	m.checkInvariants()
}

// settle heals everything and waits until every job is over and no record is left.
func (m *model) healAndFinish() {
	m.healed = true
	clear(m.partitions)
	for range 400 {
		m.now += units.Second
		m.checkInvariants()
		for _, c := range m.cells {
			m.tick(c)
		}
		for range 4 {
			pending := m.network
			m.network = nil
			for _, e := range pending {
				m.deliver(e)
			}
		}
		m.checkInvariants()
	}
	for _, job := range m.jobs {
		if !job.toldDone && !job.toldCancelled {
			m.t.Fatalf("%s is lost: %+v", job.id, job.home.outgoing[job.id])
		}
	}
	for _, c := range m.cells {
		if len(c.outgoing)+len(c.incoming) != 0 {
			m.t.Fatalf("%s keeps records: %+v %+v", c.name, c.outgoing, c.incoming)
		}
	}
}

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

func roundTripOrigin(t *rapid.T, r OriginRecord) OriginRecord {
	back, err := ParseOrigin(protocol.Item{Key: r.Key(), Value: r.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return back
}

func roundTripTarget(t *rapid.T, r TargetRecord) TargetRecord {
	back, err := DecodeTargetRecord(protocol.Item{Key: r.Key(), Value: r.Encode("1-1")})
	if err != nil {
		t.Fatal(err)
	}
	return back
}
