package federation

import (
	"errors"
	"testing"

	"dunestand/internal/protocol"
	"dunestand/internal/units"
)

var transfer = TransferID{Origin: "mill", Job: "j-000001", Incarnation: 1}

// pair is an origin and a target of one transfer with messages that arrive at once, in
// the same time.
type transferPair struct {
	t        *testing.T
	origin   OriginRecord
	target   *TargetRecord
	grantor  LeaseGrantor
	holder   LeaseHolder
	now      units.Micros
	messages int
	writes   int
}

func newTransferPair(t *testing.T, allowance int) *transferPair {
	p := &transferPair{t: t, holder: NewLeaseHolder(1)}
	p.fromOrigin(BeginTransfer(transfer, HandOverRequest{Target: "dye", Description: []byte("job"), Work: 10}, allowance))
	return p
}

func (p *transferPair) fromOrigin(d Decision[OriginRecord]) {
	p.origin = d.Record
	if d.Write {
		p.writes++
	}
	for i := range d.Send {
		p.toTarget(&d.Send[i])
	}
}

func (p *transferPair) toTarget(m *Message) {
	p.messages++
	if p.target == nil {
		p.fromTarget(ReceiveNew(m, true))
		return
	}
	p.fromTarget(p.target.Receive(m, &p.holder, modelTiming.Lease, p.now))
}

func (p *transferPair) fromTarget(d Decision[TargetRecord]) {
	if d.Write || d.Remove {
		p.writes++
	}
	p.target = &d.Record
	if d.Remove {
		p.target = nil
	}
	for i := range d.Send {
		p.messages++
		p.fromOrigin(p.origin.Receive(&d.Send[i], &p.grantor, p.now))
	}
}

func (p *transferPair) check(phase OriginPhase, mayRun bool) {
	p.t.Helper()
	if p.origin.Phase != phase {
		p.t.Fatalf("the origin is in phase %d, want %d", p.origin.Phase, phase)
	}
	if got := p.target != nil && p.target.MayRun(&p.holder, p.now); got != mayRun {
		p.t.Fatalf("the target may run: %v, want %v", got, mayRun)
	}
}

// A hand-over without trouble, and what it costs: docs/federation.md gives these figures.
func TestHandOverCosts(t *testing.T) {
	p := newTransferPair(t, 1)
	p.check(Committed, false)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(Committed, true)
	if p.messages != 6 || p.writes != 6 {
		t.Errorf("until the first task: %d messages and %d writes, want 6 and 6", p.messages, p.writes)
	}
	p.now += modelTiming.Lease / 2
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	if p.messages != 8 || p.writes != 6 {
		t.Errorf("after a renewal: %d messages and %d writes, want 2 more and none", p.messages, p.writes)
	}
	p.fromTarget(p.target.TasksCompleted(TaskSet{1}, true))
	p.check(OriginFinished, false)
	if p.target != nil || p.messages != 10 || p.writes != 9 {
		t.Errorf("in all: %d messages and %d writes, want 10 and 9", p.messages, p.writes)
	}
}

// A refusal or a result of an earlier transfer says nothing of the next one.
func TestMessageOfEarlierIncarnationChangesNothing(t *testing.T) {
	p := newTransferPair(t, 3)
	p.origin.Transfer.Incarnation = 2
	for _, kind := range []MessageKind{MessageRefused, MessageNoCapacity, MessageReserved, MessageAccepted} {
		d := p.origin.Receive(&Message{Kind: kind, Transfer: transfer}, &p.grantor, p.now)
		if d.Write || d.Record.Phase != Committed {
			t.Errorf("%v of an earlier transfer: phase %d", kind, d.Record.Phase)
		}
		if len(d.Send) != 1 || d.Send[0].Transfer != transfer {
			t.Errorf("%v of an earlier transfer is answered by %+v", kind, d.Send)
		}
	}
}

// What a target refused it never takes, though late copies of all messages follow; and it
// takes no commitment without a reservation.
func TestRefusalIsDurable(t *testing.T) {
	for _, first := range []MessageKind{MessageCommit, MessageRevoke} {
		d := ReceiveNew(&Message{Kind: first, Transfer: transfer, Job: []byte("job")}, true)
		if !d.Write || d.Record.Phase != TargetRefused {
			t.Fatalf("%v without a reservation: %+v", first, d)
		}
		for _, late := range []MessageKind{MessageReserve, MessageCommit, MessageReserve, MessageCommit, MessageRevoke} {
			holder := NewLeaseHolder(1)
			d = d.Record.Receive(&Message{Kind: late, Transfer: transfer, Work: 1}, &holder, modelTiming.Lease, 0)
			if d.Record.Phase != TargetRefused || len(d.Send) != 1 || d.Send[0].Kind != MessageRefused {
				t.Errorf("a late %v after the refusal: %+v", late, d)
			}
		}
	}
}

// That there is no room now settles nothing: a copy of that answer may come after a later
// one that promised room.
func TestNoCapacityIsNoRefusal(t *testing.T) {
	if d := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, false); d.Write || d.Send[0].Kind != MessageNoCapacity {
		t.Fatalf("without room: %+v", d)
	}
	p := newTransferPair(t, 1)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	d := p.origin.Receive(&Message{Kind: MessageNoCapacity, Transfer: transfer}, &p.grantor, p.now)
	if d.Write || d.Record.Phase != Committed {
		t.Errorf("a late answer ends the transfer: %+v", d.Record)
	}
}

// A grant that comes after the lease has lapsed does not let the run go on: its tasks are
// being stopped, and starting them again is another run.
func TestExpiredRunIsNotResumed(t *testing.T) {
	p := newTransferPair(t, 1)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += modelTiming.Lease - 1
	asked := p.target.RequestRenewal(&p.holder, p.now)
	grant := p.origin.Receive(&asked.Send[0], &p.grantor, p.now)
	p.now += 1
	p.check(Committed, false)
	p.toTarget(&grant.Send[0])
	p.check(Committed, false)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.check(Committed, true)
	if p.origin.Run != 2 || p.target.Run != 2 || !p.target.Unbounded {
		t.Errorf("origin's run %d, target's %d, unbounded %v; want the second and last", p.origin.Run, p.target.Run, p.target.Unbounded)
	}
}

// The wait covers clocks that drift apart by the bound, and more.
func TestReclaimDelayCoversDrift(t *testing.T) {
	for _, terms := range []Timing{modelTiming, {Lease: units.Second, StopGrace: 600 * units.Second}} {
		slowest := (terms.Lease + terms.StopGrace).Share(1_000_000+maxDriftPPM, 1_000_000)
		if terms.ReclaimDelay() <= slowest {
			t.Errorf("%+v: certain after %d, a slow clock may take %d", terms, terms.ReclaimDelay(), slowest)
		}
		grantor := NewLeaseGrantor(5)
		grantor.recordGrant(7)
		if grantor.Expired(7+slowest, terms) || !grantor.Expired(8+terms.ReclaimDelay(), terms) {
			t.Errorf("%+v: lapsed at the wrong time", terms)
		}
	}
}

// A job of a class without reruns is begun once; its target goes on without the origin,
// which waits for it, also when the job is cancelled.
func TestClassWithoutRestartsWaitsForTarget(t *testing.T) {
	p := newTransferPair(t, 0)
	p.fromTarget(p.target.RequestRenewal(&p.holder, p.now))
	p.now += 1000 * modelTiming.ReclaimDelay()
	p.check(Committed, true)
	if p.fromOrigin(p.origin.Reclaim()); p.origin.Phase != Committed {
		t.Fatal("it is taken back")
	}
	d := p.origin.Cancel()
	p.origin = d.Record // the target is cut off
	p.now += 1000 * modelTiming.ReclaimDelay()
	if p.fromOrigin(p.origin.Tick(&p.grantor, p.now, modelTiming)); p.origin.Phase != OriginRevoking {
		t.Fatal("its end is taken for certain")
	}
	p.toTarget(&d.Send[0])
	p.fromTarget(p.target.TasksStopped())
	if p.origin.Phase != OriginWithdrawn || !p.origin.Removable() {
		t.Errorf("after its target was heard: %+v", p.origin)
	}
}

// A result counts though the job was taken back, unless its user was told of its end.
func TestLateResultCounts(t *testing.T) {
	result := &Message{Kind: MessageResult, Transfer: transfer, Done: TaskSet{3}, Run: 1}
	back := OriginRecord{Transfer: transfer, Target: "dye", Phase: OriginReturned, Run: 1, MaxRestarts: 2, Done: TaskSet{4}}
	if d := back.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginFinished || !d.Write || !d.Record.Done.ContainsAll(TaskSet{7}) {
		t.Errorf("a result after the job returned: %+v", d)
	}
	if d := back.JobEnded().Record.Receive(result, &LeaseGrantor{}, 0); d.Record.Phase != OriginWithdrawn || d.Send[0].Kind != MessageSettle {
		t.Errorf("a result after the job ended: %+v", d)
	}
}

func TestMalformedMessageIsRejected(t *testing.T) {
	good := Message{Kind: MessageRenew, Transfer: transfer, Run: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for what, spoil := range map[string]func(*Message){
		"kind 0":           func(m *Message) { m.Kind = 0 },
		"kind of a later":  func(m *Message) { m.Kind = messageKindCount },
		"no origin":        func(m *Message) { m.Transfer.Origin = "" },
		"slash in origin":  func(m *Message) { m.Transfer.Origin = "a/b" },
		"bad job":          func(m *Message) { m.Transfer.Job = "x" },
		"no incarnation":   func(m *Message) { m.Transfer.Incarnation = 0 },
		"negative work":    func(m *Message) { m.Work = -1 },
		"renew of no run":  func(m *Message) { m.Run = 0 },
		"runs beyond all":  func(m *Message) { m.Run = maxRun + 1 },
		"runs below zero":  func(m *Message) { m.Run = -1 },
		"grant of no run":  func(m *Message) { m.Kind, m.Run = MessageGrant, 0 },
		"name with spaces": func(m *Message) { m.Transfer.Origin = "the mill" },
	} {
		m := good
		spoil(&m)
		if err := m.Check(); !errors.Is(err, ErrMalformedMessage) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// A record that cannot be read is told with its key, and never taken for another.
func TestUnreadableRecordNamesItsKey(t *testing.T) {
	origin := BeginTransfer(transfer, HandOverRequest{Target: "dye", Work: 1}, 0).Record
	target := ReceiveNew(&Message{Kind: MessageReserve, Transfer: transfer, Work: 1}, true).Record
	bad := origin
	bad.Phase = originPhaseCount
	own := origin
	own.Target = "mill"
	negative := target
	negative.Run = -1
	later := protocol.Encode(storedRecord[OriginRecord]{Format: recordFormat + 1, Record: origin})
	for what, item := range map[string]protocol.Item{
		"no value":        {Key: origin.Key()},
		"other key":       {Key: PrefixOut + "j-000002", Value: origin.Encode("")},
		"unknown phase":   {Key: origin.Key(), Value: bad.Encode("")},
		"to itself":       {Key: origin.Key(), Value: own.Encode("")},
		"a later format":  {Key: origin.Key(), Value: later},
		"target's record": {Key: origin.Key(), Value: target.Encode("")},
	} {
		if r, err := ParseOrigin(item); !errors.Is(err, ErrUnreadableRecord) {
			t.Errorf("origin, %s: %+v, %v", what, r, err)
		}
	}
	for what, item := range map[string]protocol.Item{
		"no value":     {Key: target.Key()},
		"other key":    {Key: origin.Key(), Value: target.Encode("")},
		"negative run": {Key: negative.Key(), Value: negative.Encode("")},
	} {
		if r, err := DecodeTargetRecord(item); !errors.Is(err, ErrUnreadableRecord) {
			t.Errorf("target, %s: %+v, %v", what, r, err)
		}
	}
	if job, ok := JobFromKey(origin.Key()); !ok || job != "j-000001" {
		t.Errorf("the job of %s: %q", origin.Key(), job)
	}
}

// Two cells that ask at the same moment share what there is; one that asks alone may have
// it all, and what it has is not taken from it.
func TestReservationsAreSharedFairly(t *testing.T) {
	id := func(origin string, n uint64) TransferID {
		return TransferID{Origin: origin, Job: "j-000001", Incarnation: n}
	}
	r := NewReservations(5 * units.Second)
	if r.Reserve(id("mill", 1), 1, 0) {
		t.Fatal("something is promised before the capacity is known")
	}
	r.SetCapacity(10)
	r.Reserve(id("dye", 1), 1, 0)
	for n := range uint64(10) {
		r.Reserve(id("mill", 10+n), 1, 0)
	}
	if mill := r.reservedBy("mill"); mill != 5 {
		t.Errorf("mill has %d of 10 while dye asks, want 5", mill)
	}
	for n := range uint64(10) {
		r.Reserve(id("dye", 10+n), 1, 0)
	}
	if r.Free() != 0 || r.reservedBy("dye") != 5 {
		t.Errorf("dye has %d, %d are free", r.reservedBy("dye"), r.Free())
	}
	r.Commit(id("mill", 10))
	later := 6 * units.Second
	if expired := r.Expired(later); len(expired) != 9 {
		t.Errorf("%d reservations have expired, want all but the committed one", len(expired))
	}
	for _, e := range r.Expired(later) {
		r.Release(e)
	}
	alone := later + requestWindow + 1
	if !r.Reserve(id("dye", 99), 9, alone) || r.Reserve(id("dye", 100), 1, alone) {
		t.Error("a cell that asks alone gets less or more than what is left")
	}
	r.SetCapacity(1) // machines are lost: promises hold, nothing new is promised
	if r.Free() != 0 || r.reserved() != 10 || r.Reserve(id("mill", 200), 1, alone) {
		t.Errorf("after machines were lost: %d promised, %d free", r.reserved(), r.Free())
	}
}
