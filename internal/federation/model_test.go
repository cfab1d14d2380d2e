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
	modelTasks    = 4
	modelCapacity = Work(5)
	modelPatience = 20 * units.Second
)

var modelTerms = Timing{Lease: 10 * units.Second, StopGrace: 15 * units.Second}

// execution is a job's tasks on the machines of one cell.
type execution struct {
	aliveUntil units.Micros // real time at which the workers' leases end
	done       TaskSet
}

// userJob is a job as its user and an observer of all machines see it.
type userJob struct {
	id              string
	home            *modelCell
	allowance       int
	begun           map[string]bool // the runs of its tasks, in whichever cell
	cancel          bool
	done, cancelled bool // the user was told
	incarnation     uint64
	reruns          int
}

type modelCell struct {
	name   string
	rate   float64 // of its steady clock
	term   uint64
	up     units.Micros // real time from which a leader is there
	out    map[string]OriginRecord
	in     map[TransferID]TargetRecord
	execs  map[string]*execution // by job
	done   map[string]TaskSet    // of jobs that are the cell's own
	leader modelLeader
}

// modelLeader is what a leader keeps in memory alone.
type modelLeader struct {
	grantors map[string]*LeaseGrantor
	holders  map[TransferID]*LeaseHolder
	rooms    *Reservations
}

type envelope struct {
	from, to *modelCell
	m        Message
}

type model struct {
	t     *rapid.T
	now   units.Micros
	cells []*modelCell
	jobs  []*userJob
	net   []envelope
	cuts  map[[2]string]bool
	calm  bool
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, cuts: map[[2]string]bool{}}
	for i, name := range []string{"mill", "dye", "recipes"} {
		c := &modelCell{
			name:  name,
			rate:  1 + float64(rapid.IntRange(-250, 250).Draw(t, "drift"))/1e6,
			out:   map[string]OriginRecord{},
			in:    map[TransferID]TargetRecord{},
			execs: map[string]*execution{},
			done:  map[string]TaskSet{},
		}
		m.cells = append(m.cells, c)
		m.claim(c)
		for k := range 2 {
			m.jobs = append(m.jobs, &userJob{
				id:        fmt.Sprintf("j-%06d", 10*i+k),
				home:      c,
				begun:     map[string]bool{},
				allowance: rapid.IntRange(0, 2).Draw(t, "allowance"),
			})
		}
	}
	return m
}

func (m *model) clock(c *modelCell) units.Micros { return units.Micros(float64(m.now) * c.rate) }

// claim begins a new leader, which knows what is stored and nothing else.
func (m *model) claim(c *modelCell) {
	c.term++
	c.leader = modelLeader{
		grantors: map[string]*LeaseGrantor{},
		holders:  map[TransferID]*LeaseHolder{},
		rooms:    NewReservations(5 * units.Second),
	}
	c.leader.rooms.SetCapacity(modelCapacity)
	for job := range c.out {
		grantor := NewLeaseGrantor(m.clock(c))
		c.leader.grantors[job] = &grantor
	}
	for id, r := range c.in {
		holder := NewLeaseHolder(c.term)
		c.leader.holders[id] = &holder
		c.leader.rooms.Restore(r, m.clock(c))
	}
}

// ends has a cell's leader end, and tells so.
func (m *model) ends(c *modelCell) bool {
	if m.calm || rapid.IntRange(0, 99).Draw(m.t, "leader ends") != 50 {
		return false
	}
	m.crash(c)
	return true
}

func (m *model) crash(c *modelCell) {
	m.claim(c)
	c.up = m.now + rapid.SampledFrom([]units.Micros{0, 1, 5, 40}).Draw(m.t, "away")*units.Second
}

func (m *model) send(from *modelCell, to string, messages []Message) {
	for _, msg := range messages {
		if err := msg.Check(); err != nil {
			m.t.Fatalf("a cell sends %+v: %v", msg, err)
		}
		i := slices.IndexFunc(m.cells, func(c *modelCell) bool { return c.name == to })
		m.net = append(m.net, envelope{from, m.cells[i], msg})
	}
}

// originDecides carries a decision out: stored first, then sent.
func (m *model) originDecides(c *modelCell, d Decision[OriginRecord]) {
	if m.ends(c) {
		return
	}
	job := d.Record.Transfer.Job
	if d.Write {
		c.out[job] = roundTripOrigin(m.t, d.Record)
		if c.leader.grantors[job] == nil {
			grantor := NewLeaseGrantor(m.clock(c))
			c.leader.grantors[job] = &grantor
		}
		if m.ends(c) {
			return
		}
	}
	m.send(c, d.Record.Target, d.Send)
}

func (m *model) targetDecides(c *modelCell, d Decision[TargetRecord]) {
	if m.ends(c) {
		return
	}
	id := d.Record.Transfer
	switch {
	case d.Remove:
		delete(c.in, id)
	case d.Write:
		c.in[id] = roundTripTarget(m.t, d.Record)
		if c.leader.holders[id] == nil {
			holder := NewLeaseHolder(c.term)
			c.leader.holders[id] = &holder
		}
		switch d.Record.Phase {
		case TargetAccepted:
			c.leader.rooms.Commit(id)
		case TargetFinished, TargetRefused:
			c.leader.rooms.Release(id)
		}
		if m.ends(c) {
			return
		}
	}
	m.send(c, id.Origin, d.Send)
}

func (m *model) deliver(e envelope) {
	c, msg := e.to, &e.m
	if m.now < c.up || m.cuts[[2]string{e.from.name, c.name}] {
		return // lost
	}
	if msg.Kind.toTarget() {
		r, known := c.in[msg.Transfer]
		if known {
			m.targetDecides(c, r.Receive(msg, c.leader.holders[msg.Transfer], modelTerms.Lease, m.clock(c)))
			return
		}
		room := msg.Kind == MessageReserve && c.leader.rooms.Reserve(msg.Transfer, msg.Work, m.clock(c))
		m.targetDecides(c, ReceiveNew(msg, room))
		return
	}
	r, known := c.out[msg.Transfer.Job]
	if !known {
		m.send(c, e.from.name, ReplyToUnknown(msg))
		return
	}
	d := r.Receive(msg, c.leader.grantors[r.Transfer.Job], m.clock(c))
	if msg.Transfer != r.Transfer {
		m.send(c, e.from.name, d.Send)
		return
	}
	m.originDecides(c, d)
}

func (m *model) job(id string) *userJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *userJob) bool { return j.id == id })]
}

// check looks at the machines of all cells.
func (m *model) check() {
	for _, job := range m.jobs {
		var in []string
		for _, c := range m.cells {
			exec := c.execs[job.id]
			if exec != nil && m.now >= exec.aliveUntil {
				delete(c.execs, job.id)
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
		if c.leader.rooms.reserved() > modelCapacity {
			m.t.Fatalf("%s has promised %d of %d", c.name, c.leader.rooms.reserved(), modelCapacity)
		}
	}
}

// spill begins a transfer of a job that does not run.
func (m *model) spill(job *userJob) {
	c := job.home
	if _, moved := c.out[job.id]; moved || m.now < c.up || c.execs[job.id] != nil || job.done || job.cancel {
		return
	}
	reruns := job.reruns
	if reruns > job.allowance {
		return
	}
	to := m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(m.t, "target")]
	if to == c {
		return
	}
	id := TransferID{Origin: c.name, Job: job.id, Incarnation: job.incarnation + 1}
	request := HandOverRequest{Target: to.name, Description: []byte("job"), Work: 2, Restarts: reruns}
	m.originDecides(c, BeginTransfer(id, request, job.allowance))
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
		m.cuts[link] = !m.cuts[link]
	case 2:
		job.cancel = job.cancel || rapid.IntRange(0, 2).Draw(m.t, "cancel") == 0
	case 3, 4, 5:
		m.spill(job)
	case 6:
		m.pass(units.Micros(rapid.IntRange(1, 40).Draw(m.t, "long")) * units.Second)
	case 7, 8, 9, 10, 11, 12, 13, 14:
		m.pass(units.Micros(rapid.IntRange(1, 2_000).Draw(m.t, "short")) * units.Millisecond)
	default:
		for range min(3, len(m.net)) {
			m.deliverAny()
		}
	}
}

// pass lets time go by, and then every leader look at its records.
func (m *model) pass(time units.Micros) {
	m.now += time
	m.check()
	for _, c := range m.cells {
		m.tick(c)
		m.check()
	}
}

// deliverAny delivers any message that is on its way, however old. A copy may stay.
func (m *model) deliverAny() {
	i := rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message")
	e := m.net[i]
	if len(m.net) > 60 || rapid.IntRange(0, 4).Draw(m.t, "copy stays") != 0 {
		m.net = slices.Delete(m.net, i, i+1)
	}
	m.deliver(e)
	m.check()
}

// settle heals everything and waits until every job is over and no record is left.
func (m *model) settle() {
	m.calm = true
	clear(m.cuts)
	for range 400 {
		m.now += units.Second
		m.check()
		for _, c := range m.cells {
			m.tick(c)
		}
		for range 4 {
			pending := m.net
			m.net = nil
			for _, e := range pending {
				m.deliver(e)
			}
		}
		m.check()
	}
	for _, job := range m.jobs {
		if !job.done && !job.cancelled {
			m.t.Fatalf("%s is lost: %+v", job.id, job.home.out[job.id])
		}
	}
	for _, c := range m.cells {
		if len(c.out)+len(c.in) != 0 {
			m.t.Fatalf("%s keeps records: %+v %+v", c.name, c.out, c.in)
		}
	}
}

func TestThreeCellsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.check()
			m.step()
		}
		m.settle()
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
